#ifndef JAYDRIFT_SCHEDULE_ROOM_REFUSAL_HPP
#define JAYDRIFT_SCHEDULE_ROOM_REFUSAL_HPP

#include <jaydrift/schedule/task_id.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace jaydrift::schedule {

/// Answers a `room_offer` as far as it is not used: the tasks have found room
/// elsewhere, and the workers need not be kept.
struct room_refusal
{
    /// Shard that has offered the room.
    std::uint32_t shard = 0;

    /// Owner of the shard that had asked, and the revision of its owner record.
    std::string node;
    std::uint64_t revision = 0;

    std::vector<task_id> tasks;
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_ROOM_REFUSAL_HPP
