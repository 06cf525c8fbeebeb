#include <jaydrift/schedule/minimum_runs.hpp>

#include <jaydrift/schedule/pace.hpp>
#include <jaydrift/schedule/placement_request.hpp>
#include <jaydrift/schedule/record_log.hpp>
#include <jaydrift/schedule/refused_requests.hpp>
#include <jaydrift/schedule/shard_context.hpp>
#include <jaydrift/schedule/submissions.hpp>
#include <jaydrift/schedule/task_placement.hpp>
#include <jaydrift/schedule/usable_workers.hpp>
#include <jaydrift/schedule/waiting_tasks.hpp>
#include <jaydrift/schedule/worker_choice.hpp>
#include <jaydrift/schedule/workers.hpp>

#include <algorithm>
#include <cstddef>
#include <iterator>
#include <string>
#include <vector>

namespace jaydrift::schedule::minimum_runs {

namespace {

/// Bounds the starts of one pass.
constexpr std::size_t starts_per_pass = 16;

/// A run is raised in steps of this factor, so that the reports in between show
/// how much it disturbs.
constexpr std::uint32_t raise_factor = 2;

/// Starts the first task of the step that may start, if a worker has memory for
/// it.
bool start_task(shard_context& ctx, usable_workers& usable,
                refused_requests& refused, submission_state& submission,
                task_id id, bool unaccounted)
{
    auto& step = submission.occurrences[id.occurrence].steps[id.step];
    auto const& spec = submission.work.steps[id.step];
    auto const found =
        std::find_if(step.tasks.begin(), step.tasks.end(), [&](auto& task) {
            return waits(task)
                   && !task_placement::hindrance(ctx, task, unaccounted);
        });
    if (found == step.tasks.end())
    {
        return false;
    }
    id.index = static_cast<std::uint32_t>(found - step.tasks.begin());
    placement_request request{id,
                              spec,
                              submission.terms.service,
                              found->failed_on,
                              found->waiting_since,
                              worker_choice::rack_for(ctx, spec, step)};
    request.pace_limit = minimum_pace;
    if (refused.cover(request))
    {
        return false;
    }
    auto const choice = worker_choice::choose(ctx, request, usable.of(request));
    if (!choice.worker)
    {
        refused.add(request);
        return false;
    }
    ctx.observe("task_wait_ms",
                ctx.now - waiting_tasks::waiting_since(step, *found));
    auto const number = task_placement::next_run(ctx, *found);
    task_placement::reserve(ctx, submission, id, *choice.worker, number,
                            minimum_pace);
    submission.minimum_run = id;
    workers::start(ctx, *choice.worker, {id, number});
    ctx.log_work(log_level::info, "placement",
                 submission.id + " step " + std::to_string(id.step)
                     + ": nothing has run for "
                     + std::to_string((ctx.now - submission.idle_since).count())
                     + " ms, started task " + std::to_string(id.index) + " on "
                     + choice.worker->entry.id + " at the lowest pace");
    ctx.count("minimum_runs_total", "started");
    record_log::changed(ctx, submission);
    return true;
}

bool start_any_task(shard_context& ctx, usable_workers& usable,
                    refused_requests& refused, submission_state& submission,
                    bool unaccounted)
{
    for (std::uint32_t occurrence = 0;
         occurrence < submission.occurrences.size(); ++occurrence)
    {
        auto const& steps = submission.occurrences[occurrence].steps;
        for (std::uint32_t step = 0; step < steps.size(); ++step)
        {
            auto const& spec = submission.work.steps[step];
            if (steps[step].ready && steps[step].waiting_tasks > 0
                && spec.opportunistic && !spec.gang
                && start_task(ctx, usable, refused, submission,
                              {submission.id, occurrence, step, 0},
                              unaccounted))
            {
                return true;
            }
        }
    }
    return false;
}

} // namespace

bool is_starved(shard_context const& ctx, submission_state& submission)
{
    if (submission.placed_tasks > 0 || submission.waiting_tasks == 0)
    {
        return false;
    }
    submission.starved =
        submission.starved || ctx.now - submission.idle_since >= max_idle_time;
    return submission.starved;
}

void start(shard_context& ctx, std::span<submission_state* const> waiting,
           bool unaccounted)
{
    std::vector<submission_state*> starved;
    std::copy_if(
        waiting.begin(), waiting.end(), std::back_inserter(starved),
        [&ctx](submission_state* each) { return is_starved(ctx, *each); });
    std::sort(starved.begin(), starved.end(),
              [](auto const* left, auto const* right) {
                  return left->idle_since < right->idle_since;
              });
    usable_workers usable(ctx);
    refused_requests refused;
    std::size_t started = 0;
    for (auto* const each : starved)
    {
        if (started == starts_per_pass)
        {
            break;
        }
        started +=
            start_any_task(ctx, usable, refused, *each, unaccounted) ? 1 : 0;
    }
}

void raise(shard_context& ctx, submission_state& submission,
           double highest_tail)
{
    auto const& id = *submission.minimum_run;
    auto const& task = *submissions::find_task(submission, id);
    auto const worker = ctx.shard.workers.find(task.place->worker);
    if (worker == ctx.shard.workers.end())
    {
        return;
    }
    auto const run = worker->second.runs.find({id, task.place->run});
    if (run == worker->second.runs.end()
        || run->second.phase != run_phase::running || run->second.pace_in_flight
        || worker->second.pace_raised)
    {
        return;
    }
    auto const pace =
        std::min(run->second.pace_limit * raise_factor, full_pace);
    if (!worker_choice::may_work_at(ctx, worker->second, run->second, pace,
                                    highest_tail))
    {
        return;
    }
    workers::raise_pace_limit(worker->second, run->first, pace);
    workers::pace(ctx, worker->second, run->first, pace);
    worker->second.pace_raised = true;
    if (pace == full_pace)
    {
        submission.minimum_run.reset();
        ctx.count("minimum_runs_total", "at_full_pace");
    }
}

} // namespace jaydrift::schedule::minimum_runs
