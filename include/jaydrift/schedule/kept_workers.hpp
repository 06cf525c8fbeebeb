#ifndef JAYDRIFT_SCHEDULE_KEPT_WORKERS_HPP
#define JAYDRIFT_SCHEDULE_KEPT_WORKERS_HPP

#include <jaydrift/core/resources.hpp>

#include <span>

namespace jaydrift::schedule {

struct placement_request;
struct shard_context;
struct submission_state;
struct task_id;
struct worker_state;

/// Keeps workers free for long-running tasks that have waited for long. Urgent
/// tasks are small and would otherwise take any room as soon as it gets free.
namespace kept_workers {

/// Releases the workers that are no longer needed, then keeps one for each
/// long-running task that has waited for long, as far as the limit allows.
/// `waiting` holds the submissions with waiting tasks in the order of their
/// ranks; `unaccounted` is as in `task_placement::hindrance`.
void update(shard_context& ctx, std::span<submission_state* const> waiting,
            bool unaccounted);

/// Keeps the worker for a task.
void keep(worker_state& worker, task_id const& id, resources const& demand);

/// Returns whether the worker is kept for a task that does not fit before
/// urgent tasks have ended there.
bool waits_for_urgent(worker_state const& worker);

/// Returns whether the worker is kept free of the task. It is open to
/// opportunistic tasks, to all tasks of the step that it is kept for, and to
/// other long-running tasks while `waits_for_urgent`: these would not serve
/// meanwhile, though there is room for them.
bool excludes(worker_state const& worker, placement_request const& request);

/// Notes the place of a task. If the worker was kept for another task of the
/// step, that one gets the worker that was kept for this one.
void placed(shard_context& ctx, task_id const& id, worker_state& worker);

} // namespace kept_workers

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_KEPT_WORKERS_HPP
