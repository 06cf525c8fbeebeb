#ifndef JAYDRIFT_SCHEDULE_ROOM_OFFER_HPP
#define JAYDRIFT_SCHEDULE_ROOM_OFFER_HPP

#include <jaydrift/schedule/task_id.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace jaydrift::schedule {

/// Answers a `room_request`: the offering shard keeps workers for these tasks
/// for a short time, in which they may be assigned to it.
struct room_offer
{
    /// Shard that asked.
    std::uint32_t shard = 0;

    /// Owner of the offering shard, and the revision of its owner record.
    std::string node;
    std::uint64_t revision = 0;
    std::uint32_t offering_shard = 0;

    std::vector<task_id> tasks;
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_ROOM_OFFER_HPP
