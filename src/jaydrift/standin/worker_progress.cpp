#include <jaydrift/standin/worker_progress.hpp>

#include <jaydrift/standin/never.hpp>
#include <jaydrift/standin/worker_tasks.hpp>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace jaydrift::standin::worker_progress {

namespace {

/// Limit of the slowdown of a task, so that the products below stay within 64
/// bits.
constexpr std::int64_t max_slowdown_permille = 100'000;

/// Slowdown of a throttled task, without that by other tasks.
constexpr std::int64_t throttled_slowdown_permille = 2000;

/// A throttled task uses its processor time divided by this.
constexpr int throttling_divisor = 2;

/// Longer run times count as this one, so that the products below stay within
/// 64 bits.
constexpr std::int64_t max_counted_run_time_ms = 10'000'000'000;

/// Returns whether a task ends when its run time is over. An urgent request
/// ends with the answer of its executor, and a service without a run time runs
/// until it is stopped.
bool ends_by_itself(task_run const& run)
{
    auto const priority = run.task.priority;
    return priority != task_class::urgent
           && (priority != task_class::service || run.task.run_time_ms > 0);
}

std::int64_t remaining_us(task_run const& run)
{
    auto const total =
        std::min(run.task.run_time_ms, max_counted_run_time_ms) * 1000;
    return std::max<std::int64_t>(0, total - run.done_us);
}

/// Returns the ratio of elapsed time to work done, in thousandths.
std::int64_t total_slowdown_permille(worker_state const& state,
                                     task_run const& run)
{
    auto const slowed_permille =
        slowdown_permille(state, run) * state.run_time_permille / 1000;
    return std::clamp<std::int64_t>(slowed_permille, 1, max_slowdown_permille);
}

/// Returns when a task finishes if nothing changes, or `never`. The time is
/// rounded up, because the work is not done before the end of the millisecond.
time_ms end_time(worker_state const& state, task_run const& run)
{
    if (!ends_by_itself(run))
    {
        return never;
    }
    auto const remaining_ns =
        remaining_us(run) * total_slowdown_permille(state, run);
    return state.progressed_to + time_ms((remaining_ns + 999'999) / 1'000'000);
}

task_run& find_run(worker_state& state, std::string const& id)
{
    return state.runs.find(id)->second;
}

/// Adds the work that running tasks do up to `until`.
void progress_to(worker_state& state, time_ms until)
{
    auto const elapsed_ms = (until - state.progressed_to).count();
    if (elapsed_ms <= 0)
    {
        return;
    }
    for (auto const& id : state.running)
    {
        auto& run = find_run(state, id);
        if (ends_by_itself(run))
        {
            auto const remaining_work_us = remaining_us(run);
            auto const done_us_per_ms =
                1'000'000 / total_slowdown_permille(state, run);
            run.done_us += remaining_work_us / done_us_per_ms < elapsed_ms
                               ? remaining_work_us
                               : elapsed_ms * done_us_per_ms;
        }
    }
    state.progressed_to = until;
}

/// Ends the leases that have expired and stops all tasks of their shards.
void end_expired_leases(worker_context& ctx)
{
    auto& state = ctx.state;
    for (auto& [shard, term] : state.shards)
    {
        if (!term.lease_active || term.lease_until > ctx.now)
        {
            continue;
        }
        term.lease_active = false;
        ctx.record("lease_lapsed", {}, to_string(shard));
        for (auto const& id : std::set(state.running))
        {
            if (auto& run = find_run(state, id); run.shard == shard)
            {
                worker_tasks::end(ctx, run, task_state::lease_lapsed,
                                  "the lease has lapsed");
            }
        }
    }
}

void finish_tasks(worker_context& ctx)
{
    for (auto const& id : std::set(ctx.state.running))
    {
        auto& run = find_run(ctx.state, id);
        if (ends_by_itself(run) && remaining_us(run) == 0)
        {
            run.checkpoint_ms = run.task.run_time_ms;
            worker_tasks::end(ctx, run, task_state::finished);
        }
    }
}

task_usage measure(worker_state const& state, task_run const& run)
{
    auto const cpu_permille =
        state.usage_permille / (run.throttled ? throttling_divisor : 1);
    return {run.task.id, run.task.kind,
            run.task.demand.millicores * cpu_permille / 1000,
            run.task.demand.memory_mb * state.usage_permille / 1000,
            slowdown_permille(state, run)};
}

void measure_usage(worker_context& ctx)
{
    auto& state = ctx.state;
    if (ctx.now < state.next_usage)
    {
        return;
    }
    state.next_usage = ctx.now + state.settings.usage_interval;
    usage_report report{++state.usage_generation, ctx.now, {}};
    for (auto const& id : state.running)
    {
        report.tasks.push_back(measure(state, find_run(state, id)));
    }
    state.usage.push_back(std::move(report));
    // Called only because it drops the measurements that are no longer needed.
    reported_usage(ctx);
}

/// Returns when the next lease expires or the next task finishes.
time_ms next_change(worker_state const& state)
{
    auto next = never;
    for (auto const& [shard, term] : state.shards)
    {
        next = term.lease_active ? std::min(next, term.lease_until) : next;
    }
    for (auto const& id : state.running)
    {
        next = std::min(next, end_time(state, state.runs.find(id)->second));
    }
    return next;
}

} // namespace

void advance(worker_context& ctx)
{
    auto const now = ctx.now;
    for (auto due = next_change(ctx.state); due <= now;
         due = next_change(ctx.state))
    {
        ctx.now = std::max(due, ctx.state.progressed_to);
        progress_to(ctx.state, ctx.now);
        end_expired_leases(ctx);
        finish_tasks(ctx);
    }
    ctx.now = now;
    progress_to(ctx.state, now);
    measure_usage(ctx);
}

std::int64_t slowdown_permille(worker_state const& state, task_run const& run)
{
    std::map<std::string, int> running_per_kind;
    for (auto const& id : state.running)
    {
        ++running_per_kind[state.runs.find(id)->second.task.kind];
    }
    --running_per_kind[run.task.kind];
    std::int64_t result = run.throttled ? throttled_slowdown_permille : 1000;
    for (auto const& [kind, count] : running_per_kind)
    {
        auto const noise = state.noise.find({run.task.kind, kind});
        if (count > 0 && noise != state.noise.end())
        {
            result =
                std::min(result * noise->second / 1000, max_slowdown_permille);
        }
    }
    return result;
}

usage_report reported_usage(worker_context& ctx)
{
    auto& usage = ctx.state.usage;
    auto const newest_reportable = ctx.now - ctx.state.usage_lag;
    while (usage.size() > 1 && usage[1].measured_at <= newest_reportable)
    {
        usage.pop_front();
    }
    if (usage.empty() || usage.front().measured_at > newest_reportable)
    {
        return {};
    }
    return usage.front();
}

time_ms next_due(worker_state const& state)
{
    auto const change = next_change(state);
    return state.running.empty() ? change : std::min(change, state.next_usage);
}

} // namespace jaydrift::standin::worker_progress
