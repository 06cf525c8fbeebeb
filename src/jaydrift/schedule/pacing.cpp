#include <jaydrift/schedule/pacing.hpp>

#include <jaydrift/schedule/interference.hpp>
#include <jaydrift/schedule/shard_context.hpp>
#include <jaydrift/schedule/submissions.hpp>
#include <jaydrift/schedule/workers.hpp>

#include <algorithm>
#include <cmath>
#include <string>
#include <utility>
#include <vector>

namespace jaydrift::schedule::pacing {

namespace {

/// Tail latency relative to its target above which neighbours are slowed down.
constexpr double slow_down_above = 0.95;

/// Relative tail latency that is expected after a change of the paces.
constexpr double target_tail = 0.8;

/// Relative tail latency below which neighbours are sped up again.
constexpr double speed_up_below = 0.75;

/// Reports are averages over half a second, so acting more often would react
/// twice to the same disturbance.
constexpr time_ms action_interval{450};

/// Paces in percent. A pace below the smallest one is set to 0, since such a
/// slow task still disturbs its neighbours but makes hardly any progress.
constexpr std::uint32_t smallest_pace = 10;
constexpr std::uint32_t speed_up_step = 30;
constexpr std::uint32_t full_pace = 100;

/// A neighbour whose weight is lower is not held responsible.
constexpr double min_responsible_weight = 0.5;

/// A neighbour that saves checkpoints is moved to another worker after its pace
/// has been 0 for this long.
constexpr time_ms move_delay{1200};

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

/// Orders the pace nearest to `percent` that is allowed, if it is a change.
void set_pace(shard_context& ctx, worker_state& worker, neighbour const& each,
              double percent)
{
    auto pace = static_cast<std::uint32_t>(
        std::clamp(percent, 0.0, static_cast<double>(full_pace)));
    pace = pace < smallest_pace ? 0 : pace;
    if (pace != each.run->pace_percent)
    {
        workers::pace(ctx, worker, each.id, pace);
    }
}

/// Slows down the neighbours that disturb most until the expected tail latency
/// is `target_tail`. If the model holds none responsible, or that is not
/// enough, the pace of the remaining ones is halved.
void slow_down(shard_context& ctx, worker_state& worker,
               serving_task const& worst)
{
    auto neighbours = neighbours_of(ctx, worker, *worst.run);
    std::sort(neighbours.begin(), neighbours.end(),
              [](auto const& a, auto const& b) { return a.weight > b.weight; });
    auto excess = std::log(worst.relative_tail / target_tail);
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
/// latency stays below `target_tail`.
void speed_up(shard_context& ctx, worker_state& worker,
              serving_task const& worst)
{
    auto neighbours = neighbours_of(ctx, worker, *worst.run);
    std::sort(neighbours.begin(), neighbours.end(),
              [](auto const& a, auto const& b) { return a.weight < b.weight; });
    // The logarithm is not defined for a serving task without a reported tail
    // latency.
    auto slack = worst.relative_tail > 0
                     ? std::log(target_tail / worst.relative_tail)
                     : 1.0;
    for (auto const& each : neighbours)
    {
        if (each.run->pace_percent >= full_pace)
        {
            continue;
        }
        auto const step =
            std::min(speed_up_step, full_pace - each.run->pace_percent);
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

/// Logs that a run is moved away because its pace was 0.
void log_move(shard_context& ctx, worker_state const& worker, run_id const& id,
              serving_task const& worst)
{
    auto const& task = id.task;
    auto const stood = ctx.now - *worker.runs.at(id).paced_to_zero_since;
    constexpr double percent = 100.0;
    ctx.count("runs_stopped_total", "pace_zero");
    ctx.log(log_level::info, "pacing",
            task.submission + '.' + std::to_string(task.occurrence) + '.'
                + std::to_string(task.step) + '.' + std::to_string(task.index)
                + " run " + std::to_string(id.number) + " stopped on "
                + worker.entry.id + " after " + std::to_string(stood.count())
                + " ms at pace 0, tail of " + worst.run->image + " there "
                + std::to_string(std::lround(worst.relative_tail * percent))
                + " % of its target");
}

/// Stops opportunistic runs whose pace has been 0 for long and which can resume
/// from a checkpoint, so that they go on elsewhere.
void move_runs_at_pace_zero(shard_context& ctx, worker_state& worker,
                            serving_task const& worst)
{
    std::vector<run_id> moving;
    for (auto& [id, run] : worker.runs)
    {
        if (run.pace_percent > 0)
        {
            run.paced_to_zero_since.reset();
        }
        else if (!run.paced_to_zero_since)
        {
            run.paced_to_zero_since = ctx.now;
            ctx.count("runs_paced_to_zero_total", {});
        }
        auto const* const submission =
            submissions::find(ctx, id.task.submission);
        if (run.opportunistic && run.phase == run_phase::running
            && run.paced_to_zero_since
            && ctx.now - *run.paced_to_zero_since >= move_delay && submission
            && submission->work.steps[id.task.step].checkpoints)
        {
            moving.push_back(id);
        }
    }
    for (auto const& id : moving)
    {
        log_move(ctx, worker, id, worst);
        workers::stop(ctx, worker, id);
    }
}

} // namespace

void reported(shard_context& ctx, worker_state& worker)
{
    auto const worst = worst_served(worker);
    if (ctx.shard.ownership.role != owner_role::owner || !worst.run
        || ctx.now - worker.pace_checked_at < action_interval)
    {
        return;
    }
    worker.pace_checked_at = ctx.now;
    interference::learn(ctx, worker);
    if (worst.relative_tail > slow_down_above)
    {
        slow_down(ctx, worker, worst);
    }
    else if (worst.relative_tail < speed_up_below)
    {
        speed_up(ctx, worker, worst);
    }
    move_runs_at_pace_zero(ctx, worker, worst);
}

} // namespace jaydrift::schedule::pacing
