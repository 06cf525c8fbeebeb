#ifndef JAYDRIFT_SCHEDULE_REMEMBERED_DEMAND_HPP
#define JAYDRIFT_SCHEDULE_REMEMBERED_DEMAND_HPP

#include <jaydrift/core/time_ms.hpp>
#include <jaydrift/schedule/room_demand.hpp>

#include <cstdint>

namespace jaydrift::schedule {

/// Demand of another shard for which there may be room soon.
struct remembered_demand
{
    room_demand demand;
    std::uint32_t asking_shard = 0;

    /// Revision of the asking shard's owner record.
    std::uint64_t revision = 0;
    time_ms received_at;
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_REMEMBERED_DEMAND_HPP
