#ifndef JAYDRIFT_SCHEDULE_TASK_ASSIGNMENT_STATE_HPP
#define JAYDRIFT_SCHEDULE_TASK_ASSIGNMENT_STATE_HPP

#include <jaydrift/schedule/task_assignment_record.hpp>

#include <cstdint>

namespace jaydrift::schedule {

/// The assignment of a task, as a daemon knows it.
struct task_assignment_state
{
    task_assignment_record record;

    /// Revision of the record in the store.
    std::uint64_t revision = 0;
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_TASK_ASSIGNMENT_STATE_HPP
