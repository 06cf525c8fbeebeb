#ifndef JAYDRIFT_SCHEDULE_CALL_PART_HPP
#define JAYDRIFT_SCHEDULE_CALL_PART_HPP

#include <jaydrift/core/time_ms.hpp>
#include <jaydrift/schedule/answer.hpp>

#include <cstdint>
#include <optional>

namespace jaydrift::schedule {

/// What a call asks of one shard.
struct call_part
{
    std::uint32_t shard = 0;

    /// It is on its way to the shard's owner.
    bool with_peer = false;

    /// It may have been carried out elsewhere.
    bool maybe_done = false;

    /// It waits here for a change to be stored.
    bool with_log = false;

    /// Earliest time of the next attempt to serve or forward it.
    time_ms retry_at;

    std::optional<answer> reply;
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_CALL_PART_HPP
