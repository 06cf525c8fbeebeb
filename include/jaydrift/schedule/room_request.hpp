#ifndef JAYDRIFT_SCHEDULE_ROOM_REQUEST_HPP
#define JAYDRIFT_SCHEDULE_ROOM_REQUEST_HPP

#include <jaydrift/schedule/room_demand.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace jaydrift::schedule {

/// Asks the owner of another shard for room for long-running tasks that find
/// none in their own. Repeated while they wait.
struct room_request
{
    /// Shard that is asked.
    std::uint32_t shard = 0;

    /// Owner of the asking shard, and the revision of its owner record.
    std::string node;
    std::uint64_t revision = 0;
    std::uint32_t asking_shard = 0;

    std::vector<room_demand> demands;
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_ROOM_REQUEST_HPP
