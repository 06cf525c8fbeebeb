#include <jaydrift/decide/batch_steps.hpp>

#include <jaydrift/decide/policy.hpp>

#include <algorithm>

namespace jaydrift::decide::batch {

namespace {

/// Delay before a failed task is tried again, for each of its failures so far.
/// A random time of up to the whole delay is added.
constexpr std::int64_t retry_delay_ms = 1000;

/// Returns the part of a team's quota that one shard may use, in millicores. An
/// owner does not see what the team runs in other shards, so all shards have
/// equal parts.
std::int64_t shard_quota(daemon_state const& state, std::int64_t quota)
{
    auto const& settings = state.settings;
    auto const shards = std::max<std::size_t>(
        1, settings.regions.size() * settings.shards_per_region);
    return quota / static_cast<std::int64_t>(shards);
}

} // namespace

std::optional<std::int64_t> quota_of(daemon_state const& state,
                                     std::string_view team)
{
    for (auto const& quota : policy::current(state).quotas)
    {
        if (quota.team == team)
        {
            return quota.millicores;
        }
    }
    return std::nullopt;
}

bool within_quota(shard_scope const& scope, batch_job const& job)
{
    auto const quota = quota_of(scope.ctx.state, job.spec.team);
    if (!quota)
    {
        return true;
    }
    auto const used = scope.work.used_millicores.find(job.spec.team);
    auto const held =
        used == scope.work.used_millicores.end() ? 0 : used->second;
    auto const demand = job.spec.demand.millicores;
    // One task of the shard may always run. Otherwise a quota smaller than the
    // number of shards times the demand would stop the team for ever.
    return held + demand <= shard_quota(scope.ctx.state, *quota)
           || (held == 0 && demand <= *quota);
}

std::int64_t used_quota_permille(shard_scope const& scope,
                                 std::string const& team)
{
    auto const used = scope.work.used_millicores.find(team);
    if (used == scope.work.used_millicores.end())
    {
        return 0;
    }
    // A team without a quota is weighed as if it had 1,000 processors.
    constexpr std::int64_t weight_without_quota = 1'000'000;
    auto const quota =
        quota_of(scope.ctx.state, team).value_or(weight_without_quota);
    return used->second * 1000 / std::max<std::int64_t>(1, quota);
}

void refresh_queue(shard_scope const& scope, batch_job const& job)
{
    std::pair const key(job.priority, job.spec.team);
    if (job.startable() && !job.waiting.empty())
    {
        scope.work.queues[key][job.order] = job.spec.id;
        return;
    }
    auto const found = scope.work.queues.find(key);
    if (found == scope.work.queues.end())
    {
        return;
    }
    found->second.erase(job.order);
    if (found->second.empty())
    {
        scope.work.queues.erase(found);
    }
}

void enqueue(shard_scope const& scope, batch_job& job, std::uint32_t index)
{
    if (job.closed())
    {
        return;
    }
    auto& task = job.tasks[index];
    task.worker.clear();
    if (task.phase == task_phase::unresolved)
    {
        // Another worker, whose inventory has not arrived yet, may run a later
        // attempt.
        return;
    }
    task.phase = task_phase::waiting;
    // A task that ran before is started before new ones, so that the tasks of
    // a job run close together.
    job.waiting.push_front(index);
    refresh_queue(scope, job);
    wake(scope, scope.ctx.now);
}

void delay_retry(shard_scope const& scope, batch_job& job, std::uint32_t index)
{
    auto& task = job.tasks[index];
    if (task.phase != task_phase::recording)
    {
        return;
    }
    auto const base = retry_delay_ms * task.failures;
    auto const jitter =
        scope.ctx.state.random.below(static_cast<std::uint64_t>(base) + 1);
    auto const due =
        scope.ctx.now + time_ms(base + static_cast<std::int64_t>(jitter));
    task.phase = task_phase::delayed;
    task.worker.clear();
    scope.work.delayed.emplace(due, task_ref{scope.shard, job.spec.id, index});
    wake(scope, due);
}

void release_delayed(shard_scope const& scope)
{
    auto& delayed = scope.work.delayed;
    while (!delayed.empty() && delayed.begin()->first <= scope.ctx.now)
    {
        auto const ref = delayed.extract(delayed.begin()).mapped();
        auto const found = find_task(scope.work, ref.job, ref.index);
        if (found && found.task->phase == task_phase::delayed)
        {
            enqueue(scope, *found.job, ref.index);
        }
    }
    if (!delayed.empty())
    {
        wake(scope, delayed.begin()->first);
    }
}

std::optional<std::uint32_t> next_waiting(batch_job& job)
{
    while (!job.waiting.empty())
    {
        auto const index = job.waiting.front();
        if (job.tasks[index].phase == task_phase::waiting)
        {
            return index;
        }
        job.waiting.pop_front();
    }
    return std::nullopt;
}

} // namespace jaydrift::decide::batch
