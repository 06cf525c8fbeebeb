#include <jaydrift/schedule/task_placement.hpp>

#include <jaydrift/schedule/run_numbers.hpp>
#include <jaydrift/schedule/shard_context.hpp>
#include <jaydrift/schedule/submissions.hpp>
#include <jaydrift/schedule/workers.hpp>

#include <algorithm>
#include <utility>

namespace jaydrift::schedule::task_placement {

std::uint64_t next_run(shard_context const& ctx, task_state const& task)
{
    return std::max({task.last_run, task.highest_ended_run, task.run_base,
                     run_number_base(ctx.shard.ownership.record)})
           + 1;
}

std::optional<wait_reason> hindrance(shard_context const& ctx,
                                     task_state const& task, bool unaccounted)
{
    if (task.maybe_running && unaccounted)
    {
        return wait_reason::maybe_running;
    }
    if (ctx.now < task.not_before)
    {
        return wait_reason::paused;
    }
    return std::nullopt;
}

void reserve(shard_context& ctx, submission_state& submission,
             task_id const& id, worker_state& worker, std::uint64_t number,
             std::uint32_t pace_limit)
{
    auto& task = *submissions::find_task(submission, id);
    task.place = placement{worker.entry.id, number};
    task.last_run = number;
    task.maybe_running = false;
    submissions::placed(submission, id);
    auto run = workers::reservation(submission, id.step);
    run.started_at = ctx.now;
    run.progress_at = ctx.now;
    run.pace_limit = pace_limit;
    workers::add_run(worker, {id, number}, std::move(run));
}

} // namespace jaydrift::schedule::task_placement
