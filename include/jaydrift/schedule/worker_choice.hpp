#ifndef JAYDRIFT_SCHEDULE_WORKER_CHOICE_HPP
#define JAYDRIFT_SCHEDULE_WORKER_CHOICE_HPP

#include <jaydrift/schedule/chosen_worker.hpp>

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace jaydrift::schedule {

struct placement_request;
struct run_state;
struct shard_context;
struct step_spec;
struct step_state;
struct submission_state;
struct task_id;
struct worker_group;
struct worker_state;
struct worker_survey;

/// Chooses a worker for one task.
namespace worker_choice {

/// Returns the tolerance for the tasks of a submission. Tasks that have waited
/// for long are started also where they disturb others, and paced there.
double tolerance_of(shard_context const& ctx,
                    submission_state const& submission);

/// Returns whether the limit of a run's pace may be raised to `pace` percent:
/// the worker has processors left, and the tail latency of serving tasks,
/// relative to their target, is expected to be at most `highest_tail`.
bool may_work_at(shard_context const& ctx, worker_state& worker,
                 run_state const& run, std::uint32_t pace, double highest_tail);

/// Returns the rack of the data or, for a step that runs fastest on one rack,
/// the rack of its first task that has a place. Empty if there is none.
std::string_view rack_for(shard_context const& ctx, step_spec const& spec,
                          step_state const& step);

/// Counts the runs of the step of a task on a worker.
std::size_t tasks_of_step_on(worker_state const& worker, task_id const& id);

/// Returns the worker that suits the task best, or why none suits.
chosen_worker choose(shard_context& ctx, placement_request const& request);

/// Does the same for a caller that knows the workers for the request.
chosen_worker choose(shard_context& ctx, placement_request const& request,
                     worker_group const& group);

/// Asks all workers about a task that waits. Costs as much as `choose`.
worker_survey survey(shard_context& ctx, placement_request const& request);

} // namespace worker_choice

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_WORKER_CHOICE_HPP
