#include <jaydrift/decide/batch.hpp>

#include <jaydrift/decide/batch_steps.hpp>

#include <jaydrift/decide/ownership.hpp>

#include <algorithm>
#include <limits>

namespace jaydrift::decide::batch {

namespace {

constexpr time_ms never{std::numeric_limits<std::int64_t>::max()};
constexpr time_ms recheck_interval{5000};

/// Checks again whether a worker can run the jobs that none could run before:
/// workers and policies change.
void recheck_unplaceable(shard_scope const& scope)
{
    if (scope.work.unplaceable.empty())
    {
        return;
    }
    for (auto entry = scope.work.unplaceable.begin();
         entry != scope.work.unplaceable.end();)
    {
        auto* const job = find_job(scope.work, *entry);
        if (job != nullptr && !job->closed())
        {
            job->unplaceable_reason =
                unplaceable_reason(scope.ctx.state, scope.shard, *job);
            refresh_queue(scope, *job);
        }
        bool const stays = job != nullptr && !job->closed()
                           && !job->unplaceable_reason.empty();
        entry = stays ? std::next(entry) : scope.work.unplaceable.erase(entry);
    }
    wake(scope, scope.ctx.now + recheck_interval);
}

void run(shard_scope const& scope)
{
    scope.work.wake_at = never;
    refuse_unsent(scope, scope.ctx.now,
                  "store unavailable: nothing was written; try again later");
    for (auto const& [sequence, entry] : scope.work.pending)
    {
        if (!entry.waiters.empty() && entry.refuse_at > scope.ctx.now)
        {
            wake(scope, entry.refuse_at);
        }
    }
    if (!scope.work.loaded)
    {
        return;
    }
    release_unresolved(scope);
    release_delayed(scope);
    cancel_placed(scope);
    probe_uncertain(scope);
    recheck_unplaceable(scope);
    schedule(scope);
}

} // namespace

void on_timer(context& ctx)
{
    for (auto& [shard, work] : ctx.state.batch.shards)
    {
        if (work.wake_at <= ctx.now)
        {
            run({ctx, shard, work});
        }
    }
}

std::uint32_t running_tasks(daemon_state const& state, shard_id const& shard)
{
    std::size_t count = 0;
    auto const found = state.batch.shards.find(shard);
    if (found != state.batch.shards.end())
    {
        for (auto const& [id, job] : found->second.table.jobs)
        {
            count += job.placed.size();
        }
    }
    return static_cast<std::uint32_t>(count);
}

std::uint32_t waiting_tasks(daemon_state const& state, shard_id const& shard)
{
    std::size_t count = 0;
    auto const found = state.batch.shards.find(shard);
    if (found != state.batch.shards.end())
    {
        for (auto const& [id, job] : found->second.table.jobs)
        {
            if (!job.closed())
            {
                count += job.spec.task_count - job.finished - job.placed.size();
            }
        }
    }
    return static_cast<std::uint32_t>(count);
}

time_ms next_timer(daemon_state const& state)
{
    time_ms next = never;
    for (auto const& [shard, work] : state.batch.shards)
    {
        next = std::min(next, work.wake_at);
    }
    return next;
}

} // namespace jaydrift::decide::batch
