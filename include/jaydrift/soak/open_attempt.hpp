#ifndef JAYDRIFT_SOAK_OPEN_ATTEMPT_HPP
#define JAYDRIFT_SOAK_OPEN_ATTEMPT_HPP

#include <jaydrift/core/time_ms.hpp>

#include <cstddef>
#include <cstdint>
#include <string>

namespace jaydrift::soak {

/// A call of a caller that has not ended.
struct open_attempt
{
    /// What the caller wants.
    enum class kind : std::uint8_t
    {
        submit,
        show,
        cancel,
        probe_dropped_queue
    };

    kind what = kind::submit;
    std::string id;
    std::size_t daemon = 0;
    std::uint32_t tries = 0;
    time_ms sent_at;

    /// An earlier attempt may have been carried out.
    bool maybe_done = false;
};

} // namespace jaydrift::soak

#endif // JAYDRIFT_SOAK_OPEN_ATTEMPT_HPP
