#ifndef JAYDRIFT_CORE_REPLY_PROGRESS_HPP
#define JAYDRIFT_CORE_REPLY_PROGRESS_HPP

#include <jaydrift/core/time_ms.hpp>

#include <cstdint>
#include <optional>

namespace jaydrift {

/// How much of the reply to a call has arrived. Of a call without a complete
/// reply, it tells a silent server from a reply that arrives slowly.
struct reply_progress
{
    /// Time from the sending of the call until the header of the reply had
    /// arrived; absent if it has not.
    std::optional<time_ms> header_after;

    /// Bytes of the body that have arrived, and its length if that is known.
    std::uint64_t received_bytes = 0;
    std::optional<std::uint64_t> length_bytes;
};

} // namespace jaydrift

#endif // JAYDRIFT_CORE_REPLY_PROGRESS_HPP
