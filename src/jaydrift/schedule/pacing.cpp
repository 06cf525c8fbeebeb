#include <jaydrift/schedule/pacing.hpp>

#include <jaydrift/schedule/interference.hpp>
#include <jaydrift/schedule/pace.hpp>
#include <jaydrift/schedule/placement_request.hpp>
#include <jaydrift/schedule/shard_context.hpp>
#include <jaydrift/schedule/submissions.hpp>
#include <jaydrift/schedule/tail_limits.hpp>
#include <jaydrift/schedule/worker_choice.hpp>
#include <jaydrift/schedule/workers.hpp>

#include <algorithm>
#include <cmath>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace jaydrift::schedule::pacing {

namespace {

/// Reports are averages over half a second, so acting more often would react
/// twice to the same disturbance.
constexpr time_ms action_interval{450};

/// A run is sped up by this many percent of the full pace at a time.
constexpr std::uint32_t speed_up_step = 30;

/// A neighbour whose weight is lower is not held responsible.
constexpr double min_responsible_weight = 0.5;

/// A neighbour that has been paused for this long, which is a pace of 0, is
/// moved to another worker or resumes.
constexpr time_ms move_delay{1200};

/// Time between two moves of tasks of a submission; a stopped run has ended by
/// then.
constexpr time_ms move_interval{1000};

/// A run of a serving task and its last tail latency relative to the target;
/// `run` is null if there is none.
struct serving_task
{
    run_state const* run = nullptr;
    double relative_tail = 0.0;
};

/// Returns the worker's serving task with the largest relative tail latency.
serving_task worst_served(worker_state const& worker)
{
    serving_task worst;
    for (auto const& [id, run] : worker.runs)
    {
        if (run.latency_target > time_ms(0) && run.phase == run_phase::running)
        {
            auto const tail = static_cast<double>(run.load)
                              / static_cast<double>(run.latency_target.count());
            if (!worst.run || tail > worst.relative_tail)
            {
                worst = {&run, tail};
            }
        }
    }
    return worst;
}

/// An opportunistic run and its weight in the interference with a serving task.
struct neighbour
{
    run_id id;
    run_state* run = nullptr;
    double weight = 0.0;
};

/// Returns the opportunistic runs of the worker whose pace can be changed now.
std::vector<neighbour> neighbours_of(shard_context const& ctx,
                                     worker_state& worker,
                                     run_state const& serving)
{
    std::vector<neighbour> result;
    for (auto& [id, run] : worker.runs)
    {
        if (run.opportunistic && run.phase == run_phase::running
            && !run.pace_in_flight)
        {
            result.push_back({id, &run,
                              interference::weight(ctx.shard.interference,
                                                   serving.image, run.image)});
        }
    }
    return result;
}

/// Orders the pace nearest to `percent` that is allowed, if it is a change. A
/// pace below the lowest one is set to 0.
void set_pace(shard_context& ctx, worker_state& worker, neighbour const& each,
              double percent)
{
    auto pace = static_cast<std::uint32_t>(
        std::clamp(percent, 0.0, static_cast<double>(each.run->pace_limit)));
    pace = pace < minimum_pace ? 0 : pace;
    if (pace != each.run->pace_percent)
    {
        workers::pace(ctx, worker, each.id, pace);
    }
}

/// Slows down the neighbours that disturb most until the expected tail latency
/// is `after_slow_down`; those at the lowest pace come last. If the model holds
/// none responsible, or that is not enough, the pace of the remaining ones is
/// halved.
void slow_down(shard_context& ctx, worker_state& worker,
               serving_task const& worst)
{
    auto neighbours = neighbours_of(ctx, worker, *worst.run);
    std::sort(neighbours.begin(), neighbours.end(),
              [](auto const& a, auto const& b) {
                  return std::tie(a.run->pace_limit, a.weight)
                         > std::tie(b.run->pace_limit, b.weight);
              });
    auto excess = std::log(worst.relative_tail / tail_limits::after_slow_down);
    auto any_responsible = false;
    for (auto const& each : neighbours)
    {
        auto const share = interference::used_share(worker, *each.run);
        auto const caused = each.weight * share;
        if (excess <= 0 || each.weight < min_responsible_weight || caused <= 0)
        {
            continue;
        }
        any_responsible = true;
        auto const kept = std::max(0.0, 1.0 - excess / caused);
        set_pace(ctx, worker, each, each.run->pace_percent * kept);
        excess -= caused * (1.0 - kept);
    }
    if (!any_responsible || excess > 0)
    {
        for (auto const& each : neighbours)
        {
            if (!each.run->pace_in_flight)
            {
                set_pace(ctx, worker, each, each.run->pace_percent * 0.5);
            }
        }
    }
}

/// Speeds up the neighbours that disturb least, as long as the expected tail
/// latency stays below `after_slow_down`.
void speed_up(shard_context& ctx, worker_state& worker,
              serving_task const& worst)
{
    auto neighbours = neighbours_of(ctx, worker, *worst.run);
    std::sort(neighbours.begin(), neighbours.end(),
              [](auto const& a, auto const& b) { return a.weight < b.weight; });
    // The logarithm is not defined for a serving task without a reported tail
    // latency.
    auto slack =
        worst.relative_tail > 0
            ? std::log(tail_limits::after_slow_down / worst.relative_tail)
            : 1.0;
    for (auto const& each : neighbours)
    {
        auto const limit = each.run->pace_limit;
        if (each.run->pace_percent >= limit)
        {
            continue;
        }
        auto const step =
            std::min(speed_up_step, limit - each.run->pace_percent);
        auto const added =
            each.weight * static_cast<double>(each.run->demand.millicores)
            * step / full_pace
            / static_cast<double>(
                std::max<std::int64_t>(1, worker.entry.capacity.millicores));
        if (added > slack)
        {
            break;
        }
        slack -= added;
        set_pace(ctx, worker, each, each.run->pace_percent + step);
    }
}

/// Returns whether the run has been paused for longer than `limit`.
bool paused_for(shard_context const& ctx, run_state const& run, time_ms limit)
{
    return run.phase == run_phase::running && run.paused_since
           && ctx.now - *run.paused_since >= limit;
}

/// Returns how long a run stays paused before its task is moved. Each move of
/// the task makes the next pause longer, so that it is not moved again and
/// again.
time_ms pause_before_move(task_state const& task)
{
    constexpr std::int64_t growth = 4;
    constexpr std::uint32_t most_growths = 3;
    auto result = move_delay;
    for (std::uint32_t i = 0; i < std::min(task.moves, most_growths); ++i)
    {
        result = result * growth;
    }
    return result;
}

/// Returns whether a paused run is stopped to go on on another worker. Its task
/// has to save checkpoints. Either others of the submission run meanwhile, or a
/// worker takes it at once.
bool should_move(shard_context& ctx, submission_state const& submission,
                 task_state const& task, run_id const& id, run_state const& run)
{
    auto const& spec = submission.work.steps[id.task.step];
    if (!spec.checkpoints || ctx.now < submission.next_move_at
        || !paused_for(ctx, run, pause_before_move(task)))
    {
        return false;
    }
    auto const& step =
        submission.occurrences[id.task.occurrence].steps[id.task.step];
    return submission.placed_tasks > 1
           || worker_choice::choose(ctx,
                                    {id.task, spec, submission.terms.service,
                                     task.failed_on, task.waiting_since,
                                     worker_choice::rack_for(ctx, spec, step)})
                  .worker;
}

/// Logs that a run is stopped to go on elsewhere because it is paused.
void log_move(shard_context& ctx, worker_state const& worker,
              neighbour const& each, serving_task const& worst)
{
    auto const& task = each.id.task;
    constexpr double percent = 100.0;
    ctx.count("runs_stopped_total", "paused");
    ctx.log_work(
        log_level::info, "pacing",
        task.submission + '.' + std::to_string(task.occurrence) + '.'
            + std::to_string(task.step) + '.' + std::to_string(task.index)
            + " run " + std::to_string(each.id.number) + " stopped on "
            + worker.entry.id + " after "
            + std::to_string((ctx.now - *each.run->paused_since).count())
            + " ms at pace 0, tail of " + worst.run->image + " there "
            + std::to_string(std::lround(worst.relative_tail * percent))
            + " % of its target");
}

/// Notes since when the opportunistic runs of the worker are paused.
void note_pauses(shard_context& ctx, worker_state& worker)
{
    for (auto& [id, run] : worker.runs)
    {
        if (run.pace_percent > 0)
        {
            run.paused_since.reset();
        }
        else if (!run.paused_since)
        {
            run.paused_since = ctx.now;
            ctx.count("runs_paused_total", {});
        }
    }
}

/// Stops a paused run if its task should go on on another worker. Returns
/// whether it did.
bool move_elsewhere(shard_context& ctx, worker_state& worker,
                    neighbour const& each, serving_task const& worst)
{
    auto* const submission = submissions::find(ctx, each.id.task.submission);
    auto* const task = submission
                           ? submissions::find_task(*submission, each.id.task)
                           : nullptr;
    if (!task || !should_move(ctx, *submission, *task, each.id, *each.run))
    {
        return false;
    }
    ++task->moves;
    submission->next_move_at = ctx.now + move_interval;
    log_move(ctx, worker, each, worst);
    workers::stop(ctx, worker, each.id);
    return true;
}

/// Lets a paused run work at the pace that is expected to raise the logarithm
/// of the tail latency by `slack`, and takes that from `slack`.
void resume(shard_context& ctx, worker_state& worker, neighbour const& each,
            double& slack)
{
    auto const capacity = static_cast<double>(
        std::max<std::int64_t>(1, worker.entry.capacity.millicores));
    auto const growth_at_full_pace =
        std::max(min_responsible_weight, each.weight)
        * static_cast<double>(each.run->demand.millicores) / capacity;
    auto const pace = std::clamp(slack / growth_at_full_pace * full_pace,
                                 static_cast<double>(minimum_pace),
                                 static_cast<double>(each.run->pace_limit));
    slack -= growth_at_full_pace * pace / full_pace;
    set_pace(ctx, worker, each, pace);
}

/// Ends the pauses of opportunistic runs that have lasted for long: some runs
/// are moved to another worker, the others resume as far as the expected tail
/// latency allows.
void end_long_pauses(shard_context& ctx, worker_state& worker,
                     serving_task const& worst)
{
    auto slack = std::log(tail_limits::resume / worst.relative_tail);
    for (auto const& each : neighbours_of(ctx, worker, *worst.run))
    {
        if (paused_for(ctx, *each.run, move_delay)
            && !move_elsewhere(ctx, worker, each, worst) && slack > 0)
        {
            resume(ctx, worker, each, slack);
        }
    }
}

/// Lets all opportunistic runs of a worker without serving tasks work as fast
/// as they may.
void release_all(shard_context& ctx, worker_state& worker)
{
    for (auto& [id, run] : worker.runs)
    {
        if (run.opportunistic && run.phase == run_phase::running
            && !run.pace_in_flight && run.pace_percent < run.pace_limit)
        {
            workers::pace(ctx, worker, id, run.pace_limit);
        }
    }
}

/// Slows down the runs that are faster than they may be.
void apply_limits(shard_context& ctx, worker_state& worker)
{
    for (auto const& [id, run] : worker.runs)
    {
        if (run.pace_percent > run.pace_limit)
        {
            started(ctx, worker, id);
        }
    }
}

} // namespace

void started(shard_context& ctx, worker_state& worker, run_id const& id)
{
    auto const& run = worker.runs.at(id);
    if (run.phase == run_phase::running && !run.pace_in_flight
        && run.pace_percent > run.pace_limit)
    {
        workers::pace(ctx, worker, id, run.pace_limit);
    }
}

void reported(shard_context& ctx, worker_state& worker)
{
    if (ctx.shard.ownership.role != owner_role::owner)
    {
        return;
    }
    apply_limits(ctx, worker);
    auto const worst = worst_served(worker);
    if (ctx.now - worker.pace_checked_at < action_interval)
    {
        return;
    }
    worker.pace_checked_at = ctx.now;
    if (!worst.run)
    {
        release_all(ctx, worker);
        return;
    }
    interference::learn(ctx, worker);
    note_pauses(ctx, worker);
    if (worst.relative_tail > tail_limits::slow_down_above)
    {
        slow_down(ctx, worker, worst);
    }
    else if (worst.relative_tail < tail_limits::speed_up_below)
    {
        speed_up(ctx, worker, worst);
    }
    end_long_pauses(ctx, worker, worst);
}

} // namespace jaydrift::schedule::pacing
