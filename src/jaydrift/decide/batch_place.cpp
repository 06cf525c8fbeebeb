#include <jaydrift/decide/batch_steps.hpp>

#include <jaydrift/decide/workers.hpp>

namespace jaydrift::decide::batch {

task_spec spec_of(batch_job const& job, std::uint32_t index)
{
    task_spec spec;
    spec.id = task_id(job.spec.id, index);
    spec.kind = job.spec.kind;
    spec.team = job.spec.team;
    spec.priority = job.priority;
    spec.demand = job.spec.demand;
    spec.run_time_ms = job.spec.run_time_ms;
    spec.checkpoint_ms = job.tasks[index].checkpoint_ms;
    return spec;
}

void place(shard_scope const& scope, batch_job& job, std::uint32_t index,
           std::string_view worker)
{
    auto& task = job.tasks[index];
    task.worker = worker;
    task.started_at = scope.ctx.now;
    task.progress_saved_at = scope.ctx.now;
    task.evicting = false;
    task.throttled = false;
    task.control_in_flight = false;
    task.reported_absent = false;
    job.placed.insert(index);
    auto& worker_tasks = scope.ctx.state.batch.workers[std::string(worker)];
    worker_tasks.placed.insert({scope.shard, job.spec.id, index});
    if (auto const* const vm = workers::find(scope.ctx.state, worker))
    {
        worker_tasks.rack = vm->rack;
    }
    ++job.racks[worker_tasks.rack];
    scope.work.used_millicores[job.spec.team] += job.spec.demand.millicores;
    workers::reserve(scope.ctx, worker, spec_of(job, index));
}

void unplace(shard_scope const& scope, batch_job& job, std::uint32_t index)
{
    if (job.placed.erase(index) == 0)
    {
        return;
    }
    auto& task = job.tasks[index];
    task_ref const ref{scope.shard, job.spec.id, index};
    scope.work.uncertain.erase(ref);
    auto& worker_tasks = scope.ctx.state.batch.workers[task.worker];
    worker_tasks.placed.erase(ref);
    if (--job.racks[worker_tasks.rack] == 0)
    {
        job.racks.erase(worker_tasks.rack);
    }
    auto& used = scope.work.used_millicores[job.spec.team];
    used -= job.spec.demand.millicores;
    if (used == 0)
    {
        scope.work.used_millicores.erase(job.spec.team);
    }
    workers::release(scope.ctx, task.worker, task_id(job.spec.id, index));
    wake(scope, scope.ctx.now);
}

} // namespace jaydrift::decide::batch
