#ifndef JAYDRIFT_SCHEDULE_TASKS_ASSIGNED_HPP
#define JAYDRIFT_SCHEDULE_TASKS_ASSIGNED_HPP

#include <jaydrift/schedule/task_assignment_record.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace jaydrift::schedule {

/// Tells the owner of a shard of tasks that were assigned to it, ahead of its
/// watch.
struct tasks_assigned
{
    /// Shard that has the tasks now.
    std::uint32_t shard = 0;

    /// Daemon that wrote the records, and their revision.
    std::string node;
    std::uint64_t revision = 0;

    std::vector<task_assignment_record> records;
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_TASKS_ASSIGNED_HPP
