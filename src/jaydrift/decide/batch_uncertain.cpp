#include <jaydrift/decide/batch_steps.hpp>

#include <jaydrift/decide/ownership.hpp>

#include <algorithm>

namespace jaydrift::decide::batch {

namespace {

constexpr time_ms probe_interval{1000};

/// Number of control calls that one timer event sends for a shard, for probes
/// and for cancellations each.
constexpr std::size_t max_controls_per_pass = 64;

/// A renewal reply that was on its way when the worker said that it does not
/// run the task may not show yet that the task has ended, so one more is
/// awaited.
constexpr std::uint32_t min_replies_without_task = 2;

} // namespace

void mark_uncertain(shard_scope const& scope, batch_job& job,
                    std::uint32_t index, time_ms probe_at)
{
    auto& task = job.tasks[index];
    if (task.phase != task_phase::uncertain)
    {
        task.phase = task_phase::uncertain;
        task.reported_absent = false;
        task.replies_without_task = 0;
    }
    task.probe_at = probe_at;
    scope.work.uncertain.insert({scope.shard, job.spec.id, index});
    wake(scope, probe_at);
}

void probe_uncertain(shard_scope const& scope)
{
    std::size_t sent = 0;
    for (auto const& ref : scope.work.uncertain)
    {
        auto const found = find_task(scope.work, ref.job, ref.index);
        if (!found || found.task->reported_absent || found.job->cancelled)
        {
            continue;
        }
        auto& task = *found.task;
        if (task.probe_at <= scope.ctx.now && !task.control_in_flight
            && sent < max_controls_per_pass)
        {
            ++sent;
            task.probe_at = scope.ctx.now + probe_interval;
            // The probe, which is a question to the worker, is an unthrottle:
            // its reply tells whether the worker runs the task.
            send_control(scope, *found.job, ref.index, task_action::unthrottle);
        }
        wake(scope, std::max(task.probe_at, scope.ctx.now + time_ms(1)));
    }
}

void count_replies_without_task(context& ctx, std::string_view worker,
                                std::span<task_report const> tasks)
{
    auto const known = ctx.state.batch.workers.find(worker);
    if (known == ctx.state.batch.workers.end())
    {
        return;
    }
    auto const placed = known->second.placed;
    for (auto const& ref : placed)
    {
        auto const found = find_task(ctx, ref);
        if (!found || !found.task->reported_absent)
        {
            continue;
        }
        auto const id = task_id(ref.job, ref.index);
        bool const reported =
            std::any_of(tasks.begin(), tasks.end(), [&](auto const& report) {
                return report.task.id == id;
            });
        if (reported
            || ++found.task->replies_without_task < min_replies_without_task)
        {
            continue;
        }
        shard_scope const scope{ctx, ref.shard, *find_shard(ctx, ref.shard)};
        unplace(scope, *found.job, ref.index);
        enqueue(scope, *found.job, ref.index);
        free_if_closed(scope, *found.job);
    }
}

void cancel_placed(shard_scope const& scope)
{
    std::size_t sent = 0;
    for (auto entry = scope.work.cancelling.begin();
         entry != scope.work.cancelling.end();)
    {
        // `free_if_closed` removes the job from the set once none of its tasks
        // is placed.
        auto const id = *entry++;
        auto* const job = find_job(scope.work, id);
        if (job == nullptr || job->placed.empty())
        {
            scope.work.cancelling.erase(id);
            if (job != nullptr)
            {
                free_if_closed(scope, *job);
            }
            continue;
        }
        for (auto const index : job->placed)
        {
            if (!job->tasks[index].control_in_flight
                && sent < max_controls_per_pass)
            {
                ++sent;
                send_control(scope, *job, index, task_action::cancel);
            }
        }
        wake(scope, scope.ctx.now + probe_interval);
    }
}

} // namespace jaydrift::decide::batch
