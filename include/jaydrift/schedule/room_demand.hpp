#ifndef JAYDRIFT_SCHEDULE_ROOM_DEMAND_HPP
#define JAYDRIFT_SCHEDULE_ROOM_DEMAND_HPP

#include <jaydrift/core/resources.hpp>
#include <jaydrift/core/time_ms.hpp>
#include <jaydrift/schedule/task_id.hpp>

#include <cstdint>
#include <string>

namespace jaydrift::schedule {

/// What a waiting long-running task needs of a worker.
struct room_demand
{
    task_id task;
    std::string service;

    /// Empty if any worker of the service will do.
    std::string required_label;
    resources demand;

    /// Largest number of tasks of the step on one worker; 0 for any number.
    std::uint32_t max_per_worker = 0;
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_ROOM_DEMAND_HPP
