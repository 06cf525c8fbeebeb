#ifndef JAYDRIFT_SCHEDULE_CALL_PART_HPP
#define JAYDRIFT_SCHEDULE_CALL_PART_HPP

#include <jaydrift/core/time_ms.hpp>
#include <jaydrift/schedule/answer.hpp>

#include <cstdint>
#include <optional>

namespace jaydrift::schedule {

/// The part of a call that concerns one shard.
struct call_part
{
    std::uint32_t shard = 0;

    /// It was forwarded to the shard's owner, which has not answered yet.
    bool waits_for_peer = false;

    /// An earlier attempt had no answer and may have been carried out.
    bool maybe_carried_out = false;

    /// It waits until this daemon has stored a change.
    bool waits_for_log = false;

    /// Earliest time of the next attempt to serve or forward it.
    time_ms retry_at;

    /// Answer of the shard; absent until then.
    std::optional<answer> reply;
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_CALL_PART_HPP
