#include <jaydrift/schedule/worker_choice.hpp>

#include <jaydrift/schedule/interference.hpp>
#include <jaydrift/schedule/kept_workers.hpp>
#include <jaydrift/schedule/placement_request.hpp>
#include <jaydrift/schedule/shard_context.hpp>
#include <jaydrift/schedule/worker_survey.hpp>
#include <jaydrift/schedule/workers.hpp>

#include <algorithm>
#include <variant>

namespace jaydrift::schedule::worker_choice {

namespace {

/// Share of their declared processors that long-running tasks are expected to
/// use, whether or not they have a latency target. Serving tasks use about
/// half; opportunistic tasks get the rest.
constexpr double serving_use = 0.6;

/// An opportunistic task starts only where at least this share of its demand is
/// left over.
constexpr double min_leftover_share = 0.5;

/// Time from the objective on in which the tolerance rises evenly to
/// `tail_limits::start_late`.
constexpr time_ms tolerance_ramp{10000};

/// Added to a worker's score for a long-running task, times the result of
/// `same_image_balance`.
constexpr double same_image_bonus = 2.0;

/// Added to the score of a worker on the rack where the task runs fastest.
constexpr double rack_bonus = 4.0;

/// Taken from the score of the worker on which the task failed last.
constexpr double failed_worker_penalty = 2.0;

/// Long-running tasks leave this share of a worker's processors to urgent
/// tasks.
constexpr double urgent_reserve = 0.08;

/// A long-running task that has waited for this long may use that share as
/// well.
constexpr time_ms max_wait_for_reserve{1000};

/// Returns the millicores of a worker that its tasks are expected to leave
/// unused.
double leftover_millicores(worker_state const& worker)
{
    auto const others = worker.used.millicores - worker.long_running_millicores;
    return static_cast<double>(worker.entry.capacity.millicores - others
                               - worker.opportunistic_millicores)
           - serving_use * static_cast<double>(worker.long_running_millicores);
}

/// Returns by how much long-running tasks of the image outnumber those of other
/// images on the worker, from -1 (none has the image) to 1 (all have it); 0 if
/// there are no long-running tasks.
double same_image_balance(worker_state const& worker, std::string_view image)
{
    auto same = 0;
    auto others = 0;
    for (auto const& [id, run] : worker.runs)
    {
        if (run.long_running)
        {
            ++(run.image == image ? same : others);
        }
    }
    return same + others == 0
               ? 0.0
               : static_cast<double>(same - others) / (same + others);
}

/// Returns the millicores of a worker as a number to divide by.
double capacity_of(worker_state const& worker)
{
    return static_cast<double>(
        std::max<std::int64_t>(1, worker.entry.capacity.millicores));
}

/// Returns whether a worker has enough processors left over for an
/// opportunistic task.
bool has_leftover(worker_state const& worker, step_spec const& spec)
{
    auto const capacity = capacity_of(worker);
    return leftover_millicores(worker) / capacity
           >= min_leftover_share
                  * (static_cast<double>(spec.demand.millicores) / capacity);
}

/// Returns the tail latency that is expected if an opportunistic task works on
/// the worker at the given pace.
double tail_with(shard_context const& ctx, worker_state& worker,
                 step_spec const& spec, std::uint32_t pace)
{
    return interference::expected_tail(
        ctx.shard.interference, worker, spec.image,
        static_cast<double>(spec.demand.millicores) / capacity_of(worker) * pace
            / full_pace);
}

/// Score of a worker for a task, or why the task must not run there.
using score_or_refusal = std::variant<double, wait_reason>;

/// Returns the score of a worker for the task; the highest one is best.
score_or_refusal score(shard_context const& ctx, worker_state& worker,
                       placement_request const& request, bool kept_free)
{
    auto const& spec = request.spec;
    auto const& entry = worker.entry;
    if (!workers::matches_step(entry, request.service, spec))
    {
        return wait_reason::no_worker;
    }
    if (!workers::usable(ctx, worker))
    {
        return wait_reason::no_usable_worker;
    }
    if (kept_free)
    {
        return wait_reason::kept_free;
    }
    auto demand = spec.demand;
    if (spec.opportunistic)
    {
        demand.millicores = 0;
    }
    auto const free = entry.capacity - worker.used;
    if (!fits(demand, free))
    {
        demand.millicores = free.millicores;
        return fits(demand, free) ? wait_reason::processors
                                  : wait_reason::memory;
    }
    if (spec.max_per_worker > 0
        && tasks_of_step_on(worker, request.id) >= spec.max_per_worker)
    {
        return wait_reason::step_limit;
    }
    auto const capacity = capacity_of(worker);
    auto value = 0.0;
    if (spec.opportunistic)
    {
        auto const tail = tail_with(ctx, worker, spec, request.pace_limit);
        if (request.pace_limit == full_pace)
        {
            if (!has_leftover(worker, spec))
            {
                return wait_reason::leftover;
            }
            if (tail > request.tolerance)
            {
                return wait_reason::tail;
            }
        }
        value = leftover_millicores(worker) / capacity - tail;
    }
    else
    {
        auto const after =
            static_cast<double>(free.millicores - demand.millicores) / capacity;
        if (spec.long_running && after < urgent_reserve
            && ctx.now - request.waiting_since < max_wait_for_reserve)
        {
            return wait_reason::urgent_reserve;
        }
        // Urgent tasks are packed tightly. Long-running tasks join others of
        // their image, so that opportunistic tasks find workers where they
        // disturb nobody.
        value = spec.long_running
                    ? after
                          + same_image_bonus
                                * same_image_balance(worker, spec.image)
                    : 1.0 - after;
    }
    if (!request.rack.empty() && workers::has_label(entry, request.rack))
    {
        value += rack_bonus;
    }
    if (entry.id == request.failed_on)
    {
        value -= failed_worker_penalty;
    }
    return value;
}

} // namespace

double tolerance_of(shard_context const& ctx,
                    submission_state const& submission)
{
    auto const late = ctx.now - submission.objective;
    if (late <= time_ms(0))
    {
        return tail_limits::start_in_time;
    }
    auto const share =
        std::min(1.0, static_cast<double>(late.count())
                          / static_cast<double>(tolerance_ramp.count()));
    return tail_limits::start_in_time
           + share * (tail_limits::start_late - tail_limits::start_in_time);
}

bool may_work_at(shard_context const& ctx, worker_state& worker,
                 run_state const& run, std::uint32_t pace, double highest_tail)
{
    auto const capacity = capacity_of(worker);
    auto const now = std::min(run.pace_percent, run.pace_limit);
    auto const added = static_cast<double>(run.demand.millicores) * (pace - now)
                       / full_pace / capacity;
    return leftover_millicores(worker) / capacity >= min_leftover_share * added
           && interference::expected_tail(ctx.shard.interference, worker,
                                          run.image, added)
                  <= highest_tail;
}

std::string_view rack_for(shard_context const& ctx, step_spec const& spec,
                          step_state const& step)
{
    if (!spec.data_rack.empty() || !spec.same_rack)
    {
        return spec.data_rack;
    }
    for (auto const& task : step.tasks)
    {
        auto const worker = task.place
                                ? ctx.shard.workers.find(task.place->worker)
                                : ctx.shard.workers.end();
        if (worker != ctx.shard.workers.end()
            && !worker->second.entry.labels.empty())
        {
            return worker->second.entry.labels.back();
        }
    }
    return {};
}

std::size_t tasks_of_step_on(worker_state const& worker, task_id const& id)
{
    run_id first{{id.submission, id.occurrence, id.step, 0}, 0};
    std::size_t count = 0;
    for (auto run = worker.runs.lower_bound(first);
         run != worker.runs.end() && run->first.task.submission == id.submission
         && run->first.task.occurrence == id.occurrence
         && run->first.task.step == id.step;
         ++run)
    {
        ++count;
    }
    return count;
}

chosen_worker choose(shard_context& ctx, placement_request const& request)
{
    chosen_worker best;
    auto best_value = 0.0;
    for (auto& [id, worker] : ctx.shard.workers)
    {
        auto const result = score(ctx, worker, request,
                                  kept_workers::excludes(worker, request));
        if (auto const* const refusal = std::get_if<wait_reason>(&result))
        {
            best.refusal = std::max(best.refusal, *refusal);
            continue;
        }
        auto const value = std::get<double>(result);
        if (!best.worker || value > best_value)
        {
            best.worker = &worker;
            best_value = value;
        }
    }
    return best;
}

worker_survey survey(shard_context& ctx, placement_request const& request)
{
    auto const& spec = request.spec;
    worker_survey result;
    for (auto& [id, worker] : ctx.shard.workers)
    {
        if (!workers::matches_step(worker.entry, request.service, spec))
        {
            continue;
        }
        auto const free = worker.entry.capacity - worker.used;
        auto memory_demand = spec.demand;
        memory_demand.millicores = free.millicores;
        ++result.matching;
        result.usable += workers::usable(ctx, worker) ? 1 : 0;
        result.with_memory += fits(memory_demand, free) ? 1 : 0;
        result.with_processors +=
            (spec.opportunistic ? has_leftover(worker, spec)
                                : spec.demand.millicores <= free.millicores)
                ? 1
                : 0;
        // The next pass computes the expected tail at its own time.
        auto const was_valid = worker.serving_images_valid;
        auto const value = score(ctx, worker, request, false);
        auto const* const refusal = std::get_if<wait_reason>(&value);
        result.suitable += refusal ? 0 : 1;
        if (spec.opportunistic && (!refusal || *refusal == wait_reason::tail))
        {
            auto const tail = tail_with(ctx, worker, spec, request.pace_limit);
            result.lowest_tail =
                std::min(result.lowest_tail.value_or(tail), tail);
        }
        worker.serving_images_valid = was_valid;
    }
    return result;
}

} // namespace jaydrift::schedule::worker_choice
