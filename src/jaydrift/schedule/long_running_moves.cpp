#include <jaydrift/schedule/long_running_moves.hpp>

#include <jaydrift/schedule/kept_workers.hpp>
#include <jaydrift/schedule/shard_context.hpp>
#include <jaydrift/schedule/step_spec.hpp>
#include <jaydrift/schedule/submissions.hpp>
#include <jaydrift/schedule/waiting_tasks.hpp>
#include <jaydrift/schedule/worker_choice.hpp>
#include <jaydrift/schedule/workers.hpp>

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace jaydrift::schedule::long_running_moves {

namespace {

/// A task waits this long before another one is moved for it. Until then a run
/// that ends may make room.
constexpr time_ms wait_before_move{1000};

/// Time between two searches. Each begins one move at most.
constexpr time_ms search_interval{100};

/// A run is left alone for this long after its start, so that tasks do not push
/// each other to and fro.
constexpr time_ms min_time_in_place{10000};

/// Progress in percent that a worker reports of a long-running run at work.
constexpr std::uint32_t at_work = 100;

/// A run to move, its worker and the one that its task moves to.
struct possible_move
{
    worker_state* from = nullptr;
    worker_state* to = nullptr;
    run_id run;
    resources demand;
};

/// Returns the workers that are not kept and may start tasks, those with the
/// most free processors first.
std::vector<worker_state*> open_workers(shard_context& ctx)
{
    std::vector<worker_state*> result;
    for (auto& [id, worker] : ctx.shard.workers)
    {
        if (!worker.kept_for && workers::usable(ctx, worker))
        {
            result.push_back(&worker);
        }
    }
    auto const free = [](worker_state const* each) {
        return each->entry.capacity.millicores - each->used.millicores;
    };
    std::sort(
        result.begin(), result.end(),
        [&free](auto const* a, auto const* b) { return free(a) > free(b); });
    return result;
}

/// Returns whether all other tasks of the step are at work, or the step does
/// not limit how many may be away.
bool may_be_away(shard_context const& ctx, submission_state const& submission,
                 task_id const& id)
{
    if (submission.work.steps[id.step].max_unavailable == 0)
    {
        return true;
    }
    auto const& tasks =
        submission.occurrences[id.occurrence].steps[id.step].tasks;
    for (std::uint32_t i = 0; i < tasks.size(); ++i)
    {
        auto const& place = tasks[i].place;
        auto const worker = place ? ctx.shard.workers.find(place->worker)
                                  : ctx.shard.workers.end();
        if (i == id.index)
        {
            continue;
        }
        if (worker == ctx.shard.workers.end())
        {
            return false;
        }
        auto other = id;
        other.index = i;
        auto const run = worker->second.runs.find({other, place->run});
        if (run == worker->second.runs.end()
            || run->second.phase != run_phase::running
            || run->second.progress_percent < at_work)
        {
            return false;
        }
    }
    return true;
}

/// Returns whether the run may be stopped for another task.
bool may_move(shard_context& ctx, run_id const& id, run_state const& run)
{
    if (!run.long_running || run.phase != run_phase::running
        || run.progress_percent < at_work
        || ctx.now - run.started_at < min_time_in_place)
    {
        return false;
    }
    auto* const submission = submissions::find(ctx, id.task.submission);
    auto const* const task =
        submission ? submissions::find_task(*submission, id.task) : nullptr;
    return task && task->place && task->place->run == id.number
           && !ended(submission->phase)
           && !submission->work.steps[id.task.step].gang
           && may_be_away(ctx, *submission, id.task);
}

/// Returns whether the task of the step may run on the worker, whatever room
/// there is.
bool admits(worker_state const& worker, submission_state const& submission,
            task_id const& id)
{
    auto const& spec = submission.work.steps[id.step];
    return workers::matches_step(worker.entry, submission.terms.service, spec)
           && (spec.max_per_worker == 0
               || worker_choice::tasks_of_step_on(worker, id)
                      < spec.max_per_worker);
}

/// Returns another worker that has room for the task of the run now; null if
/// there is none. `open` is in the order of free processors.
worker_state* find_place(shard_context& ctx,
                         std::vector<worker_state*> const& open,
                         worker_state const& from, run_id const& id,
                         run_state const& run)
{
    auto const& submission = *submissions::find(ctx, id.task.submission);
    for (auto* const worker : open)
    {
        auto const free = worker->entry.capacity - worker->used;
        if (free.millicores < run.demand.millicores)
        {
            return nullptr;
        }
        if (worker != &from && fits(run.demand, free)
            && admits(*worker, submission, id.task))
        {
            return worker;
        }
    }
    return nullptr;
}

/// Returns whether the room on the worker is enough for a task of another shard
/// that asks for room. Such a task runs nowhere, so it comes before a move.
bool is_asked_for(shard_context const& ctx, worker_state const& worker)
{
    auto const& demands = ctx.shard.room_demands;
    auto const free = worker.entry.capacity - worker.used;
    return std::any_of(demands.begin(), demands.end(), [&](auto const& each) {
        auto const& demand = each.second.demand;
        return demand.service == worker.entry.service
               && demand.required_label.empty() && fits(demand.demand, free);
    });
}

/// Finds the smallest run whose move makes room for the task.
std::optional<possible_move> find_move(shard_context& ctx,
                                       submission_state const& submission,
                                       task_id const& waiting)
{
    auto const& demand = submission.work.steps[waiting.step].demand;
    auto const open = open_workers(ctx);
    auto targets = open;
    std::erase_if(targets, [&ctx](worker_state const* each) {
        return is_asked_for(ctx, *each);
    });
    std::optional<possible_move> best;
    for (auto* const from : open)
    {
        if (!admits(*from, submission, waiting))
        {
            continue;
        }
        auto const room = workers::room_without_urgent(*from);
        for (auto const& [id, run] : from->runs)
        {
            if ((best && run.demand.millicores >= best->demand.millicores)
                || !fits(demand, room + run.demand) || !may_move(ctx, id, run))
            {
                continue;
            }
            if (auto* const to = find_place(ctx, targets, *from, id, run))
            {
                best = {from, to, id, run.demand};
            }
        }
    }
    return best;
}

/// Returns the room that a worker has for more moves once its urgent tasks have
/// ended.
resources room_beside(std::vector<possible_move> const& moves,
                      worker_state const& worker)
{
    auto room = workers::room_without_urgent(worker);
    for (auto const& each : moves)
    {
        if (each.to == &worker)
        {
            room -= each.demand;
        }
    }
    return room;
}

/// Returns the worker with the most room for the task of the run, beside the
/// moves that are planned already; null if none has enough.
worker_state* find_later_place(shard_context& ctx,
                               std::vector<worker_state*> const& open,
                               worker_state const& from, run_id const& id,
                               run_state const& run,
                               std::vector<possible_move> const& moves)
{
    auto const& submission = *submissions::find(ctx, id.task.submission);
    worker_state* best = nullptr;
    std::int64_t most_room = 0;
    for (auto* const worker : open)
    {
        auto const room = room_beside(moves, *worker);
        if (worker != &from && fits(run.demand, room)
            && (!best || room.millicores > most_room)
            && admits(*worker, submission, id.task))
        {
            best = worker;
            most_room = room.millicores;
        }
    }
    return best;
}

/// Returns whether a task of the same step is among the moves, and the step
/// limits how many may be away.
bool step_moves_already(shard_context& ctx,
                        std::vector<possible_move> const& moves,
                        task_id const& id)
{
    auto const& spec =
        submissions::find(ctx, id.submission)->work.steps[id.step];
    return spec.max_unavailable > 0
           && std::any_of(moves.begin(), moves.end(), [&id](auto const& each) {
                  auto const& other = each.run.task;
                  return other.submission == id.submission
                         && other.occurrence == id.occurrence
                         && other.step == id.step;
              });
}

} // namespace

bool clear(shard_context& ctx, worker_state& from)
{
    std::vector<possible_move> moves;
    auto const open = open_workers(ctx);
    for (auto const& [id, run] : from.runs)
    {
        if (!run.long_running || run.phase == run_phase::stopping)
        {
            continue;
        }
        auto* const to =
            may_move(ctx, id, run) && !step_moves_already(ctx, moves, id.task)
                ? find_later_place(ctx, open, from, id, run, moves)
                : nullptr;
        if (!to)
        {
            return false;
        }
        moves.push_back({&from, to, id, run.demand});
    }
    for (auto const& each : moves)
    {
        // Of several tasks that move to one worker, the others find their place
        // in the order of all tasks, in which long-running ones come first.
        if (!each.to->kept_for)
        {
            kept_workers::keep(*each.to, each.run.task, each.demand);
        }
        workers::stop(ctx, from, each.run);
    }
    return true;
}

bool make_room(shard_context& ctx, submission_state const& submission,
               task_id const& id)
{
    auto const& step = submission.occurrences[id.occurrence].steps[id.step];
    auto const waited =
        ctx.now - waiting_tasks::waiting_since(step, step.tasks[id.index]);
    if (waited < wait_before_move || ctx.now < ctx.shard.next_move_search)
    {
        return false;
    }
    ctx.shard.next_move_search = ctx.now + search_interval;
    auto const move = find_move(ctx, submission, id);
    if (!move)
    {
        return false;
    }
    auto const& task = move->run.task;
    ctx.count("long_running_moves_total", "");
    ctx.log_work(log_level::info, "placement",
                 task.submission + " step " + std::to_string(task.step)
                     + " task " + std::to_string(task.index) + " moves from "
                     + move->from->entry.id + " to " + move->to->entry.id
                     + " to make room for " + id.submission + " step "
                     + std::to_string(id.step) + " task "
                     + std::to_string(id.index) + ", which has waited for "
                     + std::to_string(waited.count()) + " ms");
    kept_workers::keep(*move->from, id, submission.work.steps[id.step].demand);
    kept_workers::keep(*move->to, task, move->demand);
    workers::stop(ctx, *move->from, move->run);
    return true;
}

} // namespace jaydrift::schedule::long_running_moves
