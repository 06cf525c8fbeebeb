#include <jaydrift/schedule/memory_reclaim.hpp>

#include <jaydrift/schedule/kept_workers.hpp>
#include <jaydrift/schedule/pace.hpp>
#include <jaydrift/schedule/placement_request.hpp>
#include <jaydrift/schedule/shard_context.hpp>
#include <jaydrift/schedule/step_spec.hpp>
#include <jaydrift/schedule/worker_group.hpp>
#include <jaydrift/schedule/workers.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace jaydrift::schedule::memory_reclaim {

namespace {

/// Memory in MB that a worker has, or would have, for a task.
struct reclaimable_memory
{
    std::int64_t free = 0;

    /// Of runs that are being stopped.
    std::int64_t stopping = 0;

    /// Of runs that may be stopped.
    std::int64_t idle = 0;
};

/// Returns whether the run may be stopped for a firm task.
bool is_slow(run_state const& run)
{
    return run.opportunistic && run.phase == run_phase::running
           && (run.pace_limit < full_pace || run.pace_percent == 0);
}

reclaimable_memory measure(worker_state const& worker)
{
    reclaimable_memory result;
    result.free = worker.entry.capacity.memory_mb - worker.used.memory_mb;
    for (auto const& [id, run] : worker.runs)
    {
        if (run.phase == run_phase::stopping)
        {
            result.stopping += run.demand.memory_mb;
        }
        else if (is_slow(run))
        {
            result.idle += run.demand.memory_mb;
        }
    }
    return result;
}

/// Returns whether the task fits on the worker but for its memory.
bool fits_but_for_memory(worker_state const& worker,
                         placement_request const& request)
{
    auto const free = worker.entry.capacity - worker.used;
    auto demand = request.spec.demand;
    demand.memory_mb = free.memory_mb;
    return fits(demand, free);
}

} // namespace

bool make_room(shard_context& ctx, placement_request const& request,
               worker_group const& group)
{
    auto const demand = request.spec.demand.memory_mb;
    worker_state* best = nullptr;
    std::int64_t best_idle = 0;
    for (auto* const worker : group.usable)
    {
        if (kept_workers::excludes(*worker, request)
            || !fits_but_for_memory(*worker, request))
        {
            continue;
        }
        auto const memory = measure(*worker);
        if (memory.free + memory.stopping >= demand)
        {
            return true;
        }
        if (memory.free + memory.stopping + memory.idle >= demand
            && (!best || memory.idle > best_idle))
        {
            best = worker;
            best_idle = memory.idle;
        }
    }
    if (!best)
    {
        return false;
    }
    auto const memory = measure(*best);
    auto missing = demand - memory.free - memory.stopping;
    std::vector<run_id> stopped;
    for (auto const& [id, run] : best->runs)
    {
        if (missing > 0 && is_slow(run))
        {
            missing -= run.demand.memory_mb;
            stopped.push_back(id);
        }
    }
    ctx.log_work(log_level::info, "placement",
                 request.id.submission + " step "
                     + std::to_string(request.id.step)
                     + ": no worker has memory, stopping "
                     + std::to_string(stopped.size()) + " slow runs on "
                     + best->entry.id);
    for (auto const& id : stopped)
    {
        ctx.count("runs_stopped_total", "memory");
        workers::stop(ctx, *best, id);
    }
    return true;
}

} // namespace jaydrift::schedule::memory_reclaim
