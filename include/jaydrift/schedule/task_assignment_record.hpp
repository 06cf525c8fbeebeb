#ifndef JAYDRIFT_SCHEDULE_TASK_ASSIGNMENT_RECORD_HPP
#define JAYDRIFT_SCHEDULE_TASK_ASSIGNMENT_RECORD_HPP

#include <jaydrift/core/time_ms.hpp>
#include <jaydrift/schedule/task_id.hpp>

#include <cstdint>

namespace jaydrift::schedule {

/// Record by which a long-running task runs in another shard than the one that
/// has its submission. The owner of the shard that has the task writes it, on
/// the condition that both shards still have the owners that it knows, while
/// the task has no run. It is kept when the task comes back, and removed after
/// the end of the submission.
struct task_assignment_record
{
    task_id task;

    /// Shard that has the submission.
    std::uint32_t home = 0;

    /// Shard that runs the task.
    std::uint32_t shard = 0;

    /// Revision and term of the owner record of that shard when this record was
    /// written.
    std::uint64_t owner_revision = 0;
    std::uint64_t owner_term = 0;

    /// No run of the task had a higher number before.
    std::uint64_t run_base = 0;

    /// How long the task had waited then.
    time_ms waited;

    bool operator==(task_assignment_record const&) const = default;
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_TASK_ASSIGNMENT_RECORD_HPP
