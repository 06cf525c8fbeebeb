#ifndef JAYDRIFT_SCHEDULE_OWNER_SILENCE_HPP
#define JAYDRIFT_SCHEDULE_OWNER_SILENCE_HPP

#include <jaydrift/core/time_ms.hpp>

#include <cstdint>
#include <optional>

namespace jaydrift::schedule {

/// What a daemon that may take over a shard has learned about its silent owner
/// from the store.
struct owner_silence
{
    /// Last time at which the owner was heard by this daemon or by a peer.
    time_ms since;

    /// Number of the read of the write serial in flight.
    std::optional<std::uint64_t> read;

    /// Revision of the write serial at the last read; 0 if there is no serial.
    std::optional<std::uint64_t> serial_revision;

    /// The read in flight decides whether this daemon claims the shard.
    bool before_claim = false;
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_OWNER_SILENCE_HPP
