#ifndef JAYDRIFT_SCHEDULE_TASK_ASSIGNMENTS_HPP
#define JAYDRIFT_SCHEDULE_TASK_ASSIGNMENTS_HPP

#include <cstdint>
#include <span>
#include <string>

namespace jaydrift::schedule {

struct context;
struct daemon_state;
struct shard_context;
struct store_item;
struct store_replied;
struct task_assignment_record;
struct task_assignment_state;
struct task_id;
struct tasks_assigned;

/// Which shard runs each task: that of its submission, unless an assignment
/// names another one. Only the owner of the shard that has a task assigns it to
/// another shard, so what a new owner reads after its claim tells which tasks
/// it may start.
namespace task_assignments {

/// Returns the name of the record of a task.
std::string name_of(task_id const& task);

/// Returns the assignment of a task; null if there is none.
task_assignment_state const* find(daemon_state const& state,
                                  task_id const& task);

/// Returns whether all daemons know of assignments of tasks. Until then no task
/// changes its shard: an owner of an earlier release would start it again.
bool supported_by_all(daemon_state const& state);

/// Applies a record unless a later one of the task is known.
void observe(context& ctx, task_assignment_record const& record,
             std::uint64_t revision);

/// The same for the write or deletion of a record. One that cannot be read
/// counts as deleted.
void observe_item(context& ctx, store_item const& item);

/// Applies a complete list of the records, as the store held them at a
/// revision.
void observe_all(context& ctx, std::span<store_item const> items,
                 std::uint64_t revision);

/// Applies what another owner has assigned to this shard.
void received(shard_context& ctx, tasks_assigned const& message);

/// Makes the tasks of the shard follow the known assignments: takes and gives
/// tasks, and stops runs of tasks that the shard does not have any more.
void reconcile(shard_context& ctx);

/// Handles the reply to the removal of records.
void removal_replied(shard_context& ctx, store_replied const& reply);

/// Reconciles after a change. Removes the records of submissions of this shard
/// that have ended.
void tick(shard_context& ctx);

} // namespace task_assignments

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_TASK_ASSIGNMENTS_HPP
