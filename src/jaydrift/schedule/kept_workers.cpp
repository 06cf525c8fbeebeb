#include <jaydrift/schedule/kept_workers.hpp>

#include <jaydrift/schedule/long_running_moves.hpp>
#include <jaydrift/schedule/placement_request.hpp>
#include <jaydrift/schedule/shard_context.hpp>
#include <jaydrift/schedule/step_spec.hpp>
#include <jaydrift/schedule/submissions.hpp>
#include <jaydrift/schedule/task_assignments.hpp>
#include <jaydrift/schedule/task_placement.hpp>
#include <jaydrift/schedule/waiting_tasks.hpp>
#include <jaydrift/schedule/worker_choice.hpp>
#include <jaydrift/schedule/workers.hpp>

#include <cstddef>
#include <cstdint>
#include <set>
#include <string_view>
#include <utility>

namespace jaydrift::schedule::kept_workers {

namespace {

/// Wait after which a worker is kept for a long-running task.
constexpr time_ms wait_before_keeping{300};

/// About one worker of a service in this many may be kept.
constexpr std::size_t workers_per_kept = 8;

/// Returns whether the worker would have room for the task if its urgent tasks
/// freed their processors.
bool may_be_kept(shard_context const& ctx, worker_state const& worker,
                 submission_state const& submission, task_id const& id)
{
    auto const& spec = submission.work.steps[id.step];
    return workers::usable(ctx, worker)
           && workers::matches_step(worker.entry, submission.terms.service,
                                    spec)
           && fits(spec.demand, workers::room_without_urgent(worker))
           && (spec.max_per_worker == 0
               || worker_choice::tasks_of_step_on(worker, id)
                      < spec.max_per_worker);
}

/// Returns whether the task waits, or is about to: its run was told to stop.
bool waits_soon(shard_context const& ctx, task_id const& id,
                task_state const& task)
{
    if (!task.place)
    {
        return true;
    }
    auto const worker = ctx.shard.workers.find(task.place->worker);
    if (worker == ctx.shard.workers.end())
    {
        return false;
    }
    auto const run = worker->second.runs.find({id, task.place->run});
    return run != worker->second.runs.end()
           && run->second.phase == run_phase::stopping;
}

/// Returns whether room on the worker is offered to a task of another shard
/// that no third shard has got meanwhile.
bool is_offered(shard_context const& ctx, worker_state const& worker)
{
    auto const* const known =
        task_assignments::find(ctx.state, *worker.kept_for);
    return ctx.now < worker.offered_until
           && (!known || known->record.shard == ctx.shard.number
               || known->record.shard == worker.offered_to);
}

/// Returns whether the task that the worker is kept for still waits and can use
/// it.
bool is_needed(shard_context& ctx, worker_state const& worker)
{
    auto const& id = *worker.kept_for;
    auto* const submission = submissions::find(ctx, id.submission);
    auto const* const task =
        submission ? submissions::find_task(*submission, id) : nullptr;
    if (!task || task->elsewhere)
    {
        return is_offered(ctx, worker);
    }
    return !ended(submission->phase) && !task->done
           && waits_soon(ctx, id, *task)
           && may_be_kept(ctx, worker, *submission, id);
}

/// Releases the workers that are not needed. Returns the tasks that the others
/// are kept for.
std::set<task_id> release_unneeded(shard_context& ctx)
{
    std::set<task_id> result;
    for (auto& [id, worker] : ctx.shard.workers)
    {
        if (!worker.kept_for)
        {
            continue;
        }
        if (is_needed(ctx, worker))
        {
            result.insert(*worker.kept_for);
        }
        else
        {
            worker.kept_for.reset();
        }
    }
    return result;
}

/// Keeps a worker for the task: of those that may be kept, the one with the
/// most free processors. Returns false if there is none.
bool keep_worker(shard_context& ctx, submission_state const& submission,
                 task_id const& id)
{
    auto const free = [](worker_state const& each) {
        return each.entry.capacity.millicores - each.used.millicores;
    };
    worker_state* best = nullptr;
    for (auto& [name, worker] : ctx.shard.workers)
    {
        if (!worker.kept_for && (!best || free(worker) > free(*best))
            && may_be_kept(ctx, worker, submission, id))
        {
            best = &worker;
        }
    }
    if (best)
    {
        keep(*best, id, submission.work.steps[id.step].demand);
    }
    return best != nullptr;
}

/// Returns whether no more workers of the service may be kept.
bool limit_reached(shard_context const& ctx, std::string_view service)
{
    std::size_t kept = 0;
    std::size_t workers = 0;
    for (auto const& [id, worker] : ctx.shard.workers)
    {
        if (worker.entry.service == service)
        {
            ++workers;
            kept += worker.kept_for ? 1 : 0;
        }
    }
    return kept * workers_per_kept >= workers;
}

/// Returns whether a task of the step should have a worker kept for it.
bool waits_for_long(shard_context const& ctx, step_state const& step,
                    task_state const& task, bool unaccounted)
{
    return waits(task)
           && ctx.now - waiting_tasks::waiting_since(step, task)
                  >= wait_before_keeping
           && !task_placement::hindrance(ctx, task, unaccounted);
}

/// Keeps workers for the waiting tasks of the step of `id`. Adds the tasks to
/// `served`.
void keep_for_step(shard_context& ctx, submission_state const& submission,
                   task_id id, bool unaccounted, std::set<task_id>& served)
{
    auto const& step = submission.occurrences[id.occurrence].steps[id.step];
    auto const& spec = submission.work.steps[id.step];
    if (!spec.long_running || spec.gang || !step.ready
        || step.waiting_tasks == 0)
    {
        return;
    }
    for (id.index = 0; id.index < step.tasks.size(); ++id.index)
    {
        if (served.contains(id)
            || !waits_for_long(ctx, step, step.tasks[id.index], unaccounted))
        {
            continue;
        }
        if (limit_reached(ctx, submission.terms.service)
            || (!keep_worker(ctx, submission, id)
                && !long_running_moves::make_room(ctx, submission, id)))
        {
            // Other tasks of the step need the same.
            return;
        }
        served.insert(id);
    }
}

} // namespace

void update(shard_context& ctx, std::span<submission_state* const> waiting,
            bool unaccounted)
{
    auto served = release_unneeded(ctx);
    for (auto const* const submission : waiting)
    {
        for (std::uint32_t occurrence = 0;
             occurrence < submission->occurrences.size(); ++occurrence)
        {
            for (std::uint32_t step = 0; step < submission->work.steps.size();
                 ++step)
            {
                keep_for_step(ctx, *submission,
                              {submission->id, occurrence, step, 0},
                              unaccounted, served);
            }
        }
    }
}

void keep(worker_state& worker, task_id const& id, resources const& demand)
{
    worker.kept_for = id;
    worker.kept_demand = demand;
}

bool waits_for_urgent(worker_state const& worker)
{
    if (!worker.kept_for)
    {
        return false;
    }
    auto room = worker.entry.capacity - worker.used;
    for (auto const& [id, run] : worker.runs)
    {
        if (run.long_running && run.phase == run_phase::stopping)
        {
            room += run.demand;
        }
    }
    return !fits(worker.kept_demand, room);
}

bool excludes(worker_state const& worker, placement_request const& request)
{
    auto const& kept_for = worker.kept_for;
    return kept_for && !request.spec.opportunistic
           && !(request.spec.long_running && waits_for_urgent(worker))
           && !(kept_for->submission == request.id.submission
                && kept_for->occurrence == request.id.occurrence
                && kept_for->step == request.id.step);
}

void placed(shard_context& ctx, task_id const& id, worker_state& worker)
{
    if (!worker.kept_for)
    {
        return;
    }
    for (auto& [name, other] : ctx.shard.workers)
    {
        if (other.kept_for == id)
        {
            std::swap(other.kept_for, worker.kept_for);
            std::swap(other.kept_demand, worker.kept_demand);
            break;
        }
    }
    // The next pass releases the worker.
    ctx.shard.placement_due = true;
}

} // namespace jaydrift::schedule::kept_workers
