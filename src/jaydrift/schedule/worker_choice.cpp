#include <jaydrift/schedule/worker_choice.hpp>

#include <jaydrift/schedule/interference.hpp>
#include <jaydrift/schedule/kept_workers.hpp>
#include <jaydrift/schedule/neighbour_weights.hpp>
#include <jaydrift/schedule/placement_request.hpp>
#include <jaydrift/schedule/shard_context.hpp>
#include <jaydrift/schedule/usable_workers.hpp>
#include <jaydrift/schedule/worker_group.hpp>
#include <jaydrift/schedule/worker_survey.hpp>
#include <jaydrift/schedule/workers.hpp>

#include <algorithm>
#include <limits>
#include <optional>
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

/// Limit with which `interference::expected_tail` is exact.
constexpr double no_limit = std::numeric_limits<double>::max();

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

/// Returns the lowest ID that a run of the step of a task may have.
run_id first_run_of_step(task_id const& id)
{
    return {{id.submission, id.occurrence, id.step, 0}, 0};
}

/// Counts the runs on a worker that belong to the step of `first`.
std::size_t count_runs_of_step(worker_state const& worker, run_id const& first)
{
    std::size_t count = 0;
    for (auto run = worker.runs.lower_bound(first);
         run != worker.runs.end()
         && run->first.task.submission == first.task.submission
         && run->first.task.occurrence == first.task.occurrence
         && run->first.task.step == first.task.step;
         ++run)
    {
        ++count;
    }
    return count;
}

/// Returns the tail latency that is expected if an opportunistic task works on
/// the worker at the pace of its request, as `interference::expected_tail`
/// does.
double tail_with(neighbour_weights const& weights, worker_state const& worker,
                 placement_request const& request, double limit)
{
    return interference::expected_tail(
        weights, worker,
        static_cast<double>(request.spec.demand.millicores)
            / capacity_of(worker) * request.pace_limit / full_pace,
        limit);
}

/// A request with what the score of every worker needs of it.
struct prepared_request
{
    prepared_request(shard_context const& ctx, placement_request const& source)
        : request(source), first_run(first_run_of_step(source.id))
    {
        if (request.spec.opportunistic)
        {
            weights.emplace(ctx.shard.interference, request.spec.image);
        }
    }

    placement_request const& request;

    /// Lowest ID that a run of the step may have.
    run_id first_run;

    /// Empty for firm tasks.
    std::optional<neighbour_weights> weights;
};

/// Score of a worker for a task, or why the task must not run there.
using score_or_refusal = std::variant<double, wait_reason>;

/// Returns the score of a usable worker for the task; the highest one is best.
score_or_refusal score(shard_context const& ctx, worker_state& worker,
                       prepared_request const& prepared)
{
    auto const& request = prepared.request;
    auto const& spec = request.spec;
    auto const& entry = worker.entry;
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
        && count_runs_of_step(worker, prepared.first_run)
               >= spec.max_per_worker)
    {
        return wait_reason::step_limit;
    }
    auto const capacity = capacity_of(worker);
    auto value = 0.0;
    if (spec.opportunistic)
    {
        auto const limited = request.pace_limit == full_pace;
        interference::prepare(ctx.shard.interference, worker);
        if (limited && !has_leftover(worker, spec))
        {
            return wait_reason::leftover;
        }
        auto const tail = tail_with(*prepared.weights, worker, request,
                                    limited ? request.tolerance : no_limit);
        if (limited && tail > request.tolerance)
        {
            return wait_reason::tail;
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
    if (leftover_millicores(worker) / capacity < min_leftover_share * added)
    {
        return false;
    }
    auto const& model = ctx.shard.interference;
    interference::prepare(model, worker);
    return interference::expected_tail({model, run.image}, worker, added,
                                       highest_tail)
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
    return count_runs_of_step(worker, first_run_of_step(id));
}

chosen_worker choose(shard_context& ctx, placement_request const& request)
{
    return choose(ctx, request, usable_workers(ctx).of(request));
}

chosen_worker choose(shard_context& ctx, placement_request const& request,
                     worker_group const& group)
{
    chosen_worker best{nullptr, group.refusal};
    auto best_value = 0.0;
    prepared_request const prepared(ctx, request);
    for (auto* const worker : group.usable)
    {
        auto const result = kept_workers::excludes(*worker, request)
                                ? score_or_refusal(wait_reason::kept_free)
                                : score(ctx, *worker, prepared);
        if (auto const* const refusal = std::get_if<wait_reason>(&result))
        {
            best.refusal = std::max(best.refusal, *refusal);
            continue;
        }
        auto const value = std::get<double>(result);
        if (!best.worker || value > best_value)
        {
            best.worker = worker;
            best_value = value;
        }
    }
    return best;
}

worker_survey survey(shard_context& ctx, placement_request const& request)
{
    auto const& spec = request.spec;
    prepared_request const prepared(ctx, request);
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
        auto const usable = workers::usable(ctx, worker);
        result.usable += usable ? 1 : 0;
        result.with_memory += fits(memory_demand, free) ? 1 : 0;
        result.with_processors +=
            (spec.opportunistic ? has_leftover(worker, spec)
                                : spec.demand.millicores <= free.millicores)
                ? 1
                : 0;
        if (!usable)
        {
            continue;
        }
        // The next pass computes the expected tail at its own time.
        auto const was_valid = worker.serving_images_valid;
        auto const value = score(ctx, worker, prepared);
        auto const* const refusal = std::get_if<wait_reason>(&value);
        result.suitable += refusal ? 0 : 1;
        if (spec.opportunistic && (!refusal || *refusal == wait_reason::tail))
        {
            auto const tail =
                tail_with(*prepared.weights, worker, request, no_limit);
            result.lowest_tail =
                std::min(result.lowest_tail.value_or(tail), tail);
        }
        worker.serving_images_valid = was_valid;
    }
    return result;
}

} // namespace jaydrift::schedule::worker_choice
