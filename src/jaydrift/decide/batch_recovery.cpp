#include <jaydrift/decide/batch_steps.hpp>

#include <jaydrift/decide/batch.hpp>
#include <jaydrift/decide/field_error.hpp>
#include <jaydrift/decide/journal.hpp>
#include <jaydrift/decide/ownership.hpp>
#include <jaydrift/decide/workers.hpp>

#include <algorithm>

namespace jaydrift::decide::batch {

namespace {

constexpr time_ms unresolved_check_interval{1000};

/// Returns the table that a snapshot and the records after it give.
///
/// @throws field_error if the text is malformed.
job_table read_table(std::string_view snapshot,
                     std::span<std::string const> records)
{
    auto table = decode_table(snapshot);
    for (auto const& record : records)
    {
        decide::apply(table, decode_batch_record(record));
    }
    forget_old_jobs(table);
    return table;
}

/// Sets the parts of a loaded job that the journal does not hold. Until the
/// inventories have arrived, any open task may run on some worker.
void prepare_job(shard_scope const& scope, batch_job& job)
{
    if (job.closed())
    {
        return free_if_closed(scope, job);
    }
    for (auto& task : job.tasks)
    {
        if (task.phase != task_phase::done)
        {
            task.phase = task_phase::unresolved;
        }
    }
    job.unplaceable_reason =
        unplaceable_reason(scope.ctx.state, scope.shard, job);
    if (!job.unplaceable_reason.empty())
    {
        scope.work.unplaceable.insert(job.spec.id);
    }
}

/// Asks the worker about tasks that should run there but that its inventory
/// does not list: the inventory may be older than the start.
void mark_unlisted_uncertain(shard_scope const& scope, std::string_view worker,
                             std::span<task_report const> tasks)
{
    auto const known = scope.ctx.state.batch.workers.find(worker);
    if (known == scope.ctx.state.batch.workers.end())
    {
        return;
    }
    auto const placed = known->second.placed;
    for (auto const& ref : placed)
    {
        auto const found = find_task(scope.ctx, ref);
        auto const id = task_id(ref.job, ref.index);
        bool const listed =
            std::any_of(tasks.begin(), tasks.end(), [&](auto const& report) {
                return report.task.id == id;
            });
        if (found && !listed && found.task->phase == task_phase::running)
        {
            mark_uncertain(scope, *found.job, ref.index, scope.ctx.now);
        }
    }
}

/// Cancels tasks that run on the worker although they should not: those of
/// closed or unknown jobs, and attempts that were replaced.
void cancel_unexpected(shard_scope const& scope, std::string_view worker,
                       std::span<task_report const> tasks)
{
    auto const* const vm = workers::find(scope.ctx.state, worker);
    for (auto const& report : tasks)
    {
        auto const ref = parse_task_id(scope.shard, report.task.id);
        if (!ref || vm == nullptr || report.shard != scope.shard
            || report.state != task_state::running
            || (report.task.priority != task_class::batch
                && report.task.priority != task_class::background))
        {
            continue;
        }
        auto const found = find_task(scope.work, ref->job, ref->index);
        if (found && found.job->placed.contains(ref->index)
            && found.task->worker == worker && !found.job->closed())
        {
            continue;
        }
        scope.ctx.ask_worker(
            reducer_module::batch, worker, vm->address,
            task_action_request{ownership::term(scope.ctx.state, scope.shard),
                                report.task.id, report.attempt,
                                task_action::cancel},
            scope.ctx.state.settings.worker_timeout);
    }
}

/// Tells whether this daemon knows of every task of the shard that any worker
/// may run.
bool all_running_tasks_known(shard_scope const& scope)
{
    auto const& state = scope.ctx.state;
    if (ownership::inventory_complete(state, scope.shard))
    {
        return true;
    }
    // The lease of a worker that the VM list no longer names has expired by
    // this time. Each worker that the list names must be accounted for.
    auto const unlisted_expired_at = ownership::acquired_at(state, scope.shard)
                                     + state.settings.worker_lease;
    auto const names = workers::names_of_shard(state, scope.shard);
    return scope.ctx.now >= unlisted_expired_at
           && std::all_of(names.begin(), names.end(), [&](auto const& name) {
                  return scope.work.accounted_for.contains(name);
              });
}

/// Drops what workers reported under an earlier epoch of the shard.
void update_epoch(shard_scope const& scope)
{
    auto const epoch = ownership::term(scope.ctx.state, scope.shard).epoch;
    if (scope.work.epoch != 0 && epoch != scope.work.epoch)
    {
        scope.work.accounted_for.clear();
        scope.work.inventories.clear();
    }
    scope.work.epoch = epoch;
}

} // namespace

void on_shard_acquired(context& ctx, shard_id const& shard)
{
    auto& work = ctx.state.batch.shards[shard];
    shard_scope const scope{ctx, shard, work};
    update_epoch(scope);
    journal::load(ctx, shard, work.epoch);
}

void on_loaded(context& ctx, shard_id const& shard, std::string_view snapshot,
               std::span<std::string const> records)
{
    auto& work = ctx.state.batch.shards[shard];
    shard_scope const scope{ctx, shard, work};
    try
    {
        work.table = read_table(snapshot, records);
    }
    catch (field_error const& error)
    {
        ctx.log(log_level::error, "batch",
                "Cannot read the records of shard " + to_string(shard) + ": "
                    + error.what()
                    + ". None of its tasks is started, and requests about its "
                      "jobs are refused.");
        return;
    }
    work.loaded = true;
    for (auto& [id, job] : work.table.jobs)
    {
        prepare_job(scope, job);
    }
    auto const inventories = std::move(work.inventories);
    work.inventories.clear();
    for (auto const& [worker, tasks] : inventories)
    {
        apply_inventory(scope, worker, tasks);
    }
    wake(scope, ctx.now);
}

std::string snapshot(daemon_state const& state, shard_id const& shard)
{
    auto const found = state.batch.shards.find(shard);
    return found == state.batch.shards.end() ? std::string()
                                             : encode(found->second.table);
}

void apply_inventory(shard_scope const& scope, std::string_view worker,
                     std::span<task_report const> tasks)
{
    for (auto const& report : tasks)
    {
        apply_report(scope, worker, report);
    }
    cancel_unexpected(scope, worker, tasks);
    mark_unlisted_uncertain(scope, worker, tasks);
}

void on_inventory(context& ctx, shard_id const& shard, std::string_view worker,
                  std::span<task_report const> tasks)
{
    auto& work = ctx.state.batch.shards[shard];
    shard_scope const scope{ctx, shard, work};
    update_epoch(scope);
    work.accounted_for.emplace(worker);
    if (!work.loaded)
    {
        work.inventories[std::string(worker)] = {tasks.begin(), tasks.end()};
        return;
    }
    apply_inventory(scope, worker, tasks);
    wake(scope, ctx.now);
}

void on_lease_lapsed(context& ctx, shard_id const& shard,
                     std::string_view worker)
{
    auto& work = ctx.state.batch.shards[shard];
    shard_scope const scope{ctx, shard, work};
    work.accounted_for.emplace(worker);
    // Its running tasks have stopped; its reports of ended tasks still count.
    if (auto const early = work.inventories.find(std::string(worker));
        early != work.inventories.end())
    {
        std::erase_if(early->second, [](auto const& report) {
            return report.state == task_state::running;
        });
    }
    wake(scope, ctx.now);
    auto const known = ctx.state.batch.workers.find(worker);
    if (known == ctx.state.batch.workers.end())
    {
        return;
    }
    auto const placed = known->second.placed;
    for (auto const& ref : placed)
    {
        auto const found = find_task(ctx, ref);
        if (!found || ref.shard != shard)
        {
            continue;
        }
        unplace(scope, *found.job, ref.index);
        enqueue(scope, *found.job, ref.index);
        free_if_closed(scope, *found.job);
    }
}

void release_unresolved(shard_scope const& scope)
{
    if (scope.work.resolved)
    {
        return;
    }
    if (!all_running_tasks_known(scope))
    {
        return wake(scope, scope.ctx.now + unresolved_check_interval);
    }
    scope.work.resolved = true;
    for (auto& [id, job] : scope.work.table.jobs)
    {
        for (std::uint32_t index = 0; index < job.tasks.size(); ++index)
        {
            if (job.tasks[index].phase == task_phase::unresolved)
            {
                job.tasks[index].phase = task_phase::waiting;
                job.waiting.push_back(index);
            }
        }
        refresh_queue(scope, job);
    }
}

} // namespace jaydrift::decide::batch
