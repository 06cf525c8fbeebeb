#ifndef JAYDRIFT_SCHEDULE_WAITING_TASKS_HPP
#define JAYDRIFT_SCHEDULE_WAITING_TASKS_HPP

#include <jaydrift/core/time_ms.hpp>

namespace jaydrift::schedule {

struct shard_context;
struct step_state;
struct task_state;

/// Tells operators which tasks wait, and why. Decides nothing.
namespace waiting_tasks {

/// Returns the time since which a task of a ready step has been waiting.
time_ms waiting_since(step_state const& step, task_state const& task);

/// Returns the same for the task of the step that has waited longest, `now` if
/// none waits.
time_ms waiting_since(step_state const& step, time_ms now);

/// Counts the waiting tasks by reason and wait. Writes a line for each step
/// with tasks that have waited for long, again and again at growing intervals.
/// Comes after `placement_policy::tick`, so that the lines show the workers as
/// a pass has left them.
void tick(shard_context& ctx);

} // namespace waiting_tasks

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_WAITING_TASKS_HPP
