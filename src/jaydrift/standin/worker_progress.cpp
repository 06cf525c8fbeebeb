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

constexpr std::int64_t max_pace_permille = 100'000;

/// Longer run times are cut, so that the products below stay within 64 bits.
constexpr std::int64_t max_run_time_ms = 10'000'000'000;

/// An urgent request ends with its executor's answer, and a service without a
/// run time runs until it is stopped.
bool ends_by_itself(task_run const& run)
{
    auto const priority = run.task.priority;
    return priority != task_class::urgent
           && (priority != task_class::service || run.task.run_time_ms > 0);
}

std::int64_t remaining_us(task_run const& run)
{
    auto const total = std::min(run.task.run_time_ms, max_run_time_ms) * 1000;
    return std::max<std::int64_t>(0, total - run.done_us);
}

/// Returns the time that a millisecond of run time takes, in thousandths.
std::int64_t pace(worker_state const& state, task_run const& run)
{
    auto const wanted = slowdown(state, run) * state.run_time_permille / 1000;
    return std::clamp<std::int64_t>(wanted, 1, max_pace_permille);
}

time_ms end_of(worker_state const& state, task_run const& run)
{
    if (!ends_by_itself(run))
    {
        return never;
    }
    auto const scaled = remaining_us(run) * pace(state, run);
    return state.progressed_to + time_ms((scaled + 999'999) / 1'000'000);
}

task_run& run_of(worker_state& state, std::string const& id)
{
    return state.runs.find(id)->second;
}

/// Counts the work that running tasks do up to a time.
void progress_to(worker_state& state, time_ms until)
{
    auto const elapsed = (until - state.progressed_to).count();
    if (elapsed <= 0)
    {
        return;
    }
    for (auto const& id : state.running)
    {
        auto& run = run_of(state, id);
        if (ends_by_itself(run))
        {
            auto const most = remaining_us(run);
            auto const speed = 1'000'000 / pace(state, run);
            run.done_us += most / speed < elapsed ? most : elapsed * speed;
        }
    }
    state.progressed_to = until;
}

/// Stops every task of each shard whose lease has lapsed.
void lapse_leases(worker_step& step)
{
    auto& state = step.state;
    for (auto& [shard, term] : state.shards)
    {
        if (!term.lease_runs || term.lease_until > step.now)
        {
            continue;
        }
        term.lease_runs = false;
        step.record("lease_lapsed", {}, to_string(shard));
        for (auto const& id : std::set(state.running))
        {
            if (auto& run = run_of(state, id); run.shard == shard)
            {
                worker_tasks::end(step, run, task_state::lease_lapsed,
                                  "the lease has lapsed");
            }
        }
    }
}

void finish_tasks(worker_step& step)
{
    for (auto const& id : std::set(step.state.running))
    {
        auto& run = run_of(step.state, id);
        if (ends_by_itself(run) && remaining_us(run) == 0)
        {
            run.checkpoint_ms = run.task.run_time_ms;
            worker_tasks::end(step, run, task_state::finished);
        }
    }
}

task_usage measure(worker_state const& state, task_run const& run)
{
    auto const share = state.usage_permille / (run.throttled ? 2 : 1);
    return {run.task.id, run.task.kind,
            run.task.demand.millicores * share / 1000,
            run.task.demand.memory_mb * state.usage_permille / 1000,
            slowdown(state, run)};
}

void measure_usage(worker_step& step)
{
    auto& state = step.state;
    if (step.now < state.next_usage)
    {
        return;
    }
    state.next_usage = step.now + state.settings.usage_interval;
    usage_report report{++state.usage_generation, step.now, {}};
    for (auto const& id : state.running)
    {
        report.tasks.push_back(measure(state, run_of(state, id)));
    }
    state.usage.push_back(std::move(report));
    reported_usage(step);
}

time_ms next_change(worker_state const& state)
{
    auto next = never;
    for (auto const& [shard, term] : state.shards)
    {
        next = term.lease_runs ? std::min(next, term.lease_until) : next;
    }
    for (auto const& id : state.running)
    {
        next = std::min(next, end_of(state, state.runs.find(id)->second));
    }
    return next;
}

} // namespace

void advance(worker_step& step)
{
    auto const now = step.now;
    for (auto due = next_change(step.state); due <= now;
         due = next_change(step.state))
    {
        step.now = std::max(due, step.state.progressed_to);
        progress_to(step.state, step.now);
        lapse_leases(step);
        finish_tasks(step);
    }
    step.now = now;
    progress_to(step.state, now);
    measure_usage(step);
}

std::int64_t slowdown(worker_state const& state, task_run const& run)
{
    std::map<std::string, int> others;
    for (auto const& id : state.running)
    {
        ++others[state.runs.find(id)->second.task.kind];
    }
    --others[run.task.kind];
    std::int64_t result = run.throttled ? 2000 : 1000;
    for (auto const& [kind, count] : others)
    {
        auto const noise = state.noise.find({run.task.kind, kind});
        if (count > 0 && noise != state.noise.end())
        {
            result = std::min(result * noise->second / 1000, max_pace_permille);
        }
    }
    return result;
}

usage_report reported_usage(worker_step& step)
{
    auto& usage = step.state.usage;
    auto const latest = step.now - step.state.usage_lag;
    while (usage.size() > 1 && usage[1].measured_at <= latest)
    {
        usage.pop_front();
    }
    if (usage.empty() || usage.front().measured_at > latest)
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
