#include <jaydrift/decide/workers.hpp>

#include <jaydrift/decide/context.hpp>
#include <jaydrift/decide/policy.hpp>

#include <algorithm>

namespace jaydrift::decide::workers {

namespace {

/// Number of different jobs that must fail on a worker before it is
/// quarantined. One job that cannot run anywhere must not put workers out of
/// use.
constexpr std::size_t quarantine_failures = 5;
constexpr time_ms quarantine_duration{60000};

constexpr std::uint32_t breaker_failures = 5;
constexpr time_ms first_probe_interval{1000};

/// Upper limit of the time between probes, which doubles with each failed one:
/// a failed probe costs a caller its answer.
constexpr time_ms max_probe_interval{60000};

/// Tells whether a worker gets no starts: it is quarantined, or it is on
/// probation and one start is in progress.
bool quarantined(start_history const& starts, time_ms now)
{
    if (starts.quarantined_until && now < *starts.quarantined_until)
    {
        return true;
    }
    return starts.probation && !starts.probe_task.empty();
}

void quarantine(context& ctx, std::string_view worker, start_history& starts)
{
    starts.failed_jobs.clear();
    starts.probe_task.clear();
    starts.probation = true;
    starts.quarantined_until = ctx.now + quarantine_duration;
    ctx.log(log_level::warning, "workers",
            "Worker " + std::string(worker)
                + " is quarantined: its last starts failed.");
    ctx.add_timeline_event("worker_quarantined", {}, {}, worker);
}

/// Stops urgent work on a worker until the next probe. Each failed probe
/// doubles the time to the next one.
void open_breaker(context& ctx, std::string_view worker,
                  circuit_breaker& breaker)
{
    auto const interval =
        breaker.open ? std::min(breaker.probe_interval + breaker.probe_interval,
                                max_probe_interval)
                     : first_probe_interval;
    if (!breaker.open)
    {
        ctx.log(log_level::warning, "workers",
                "Urgent work on worker " + std::string(worker)
                    + " is suspended until a probe succeeds: it failed several "
                      "times in a row.");
        ctx.add_timeline_event("breaker_opened", {}, {}, worker);
    }
    breaker.open = true;
    breaker.probe_interval = interval;
    breaker.probe_at = ctx.now + interval;
}

} // namespace

bool usable(daemon_state const& state, std::string_view worker, time_ms now)
{
    auto const found = state.workers.entries.find(worker);
    if (found == state.workers.entries.end())
    {
        return false;
    }
    auto const& entry = found->second;
    return entry.vm.state == vm_state::live && !entry.leaving
           && !quarantined(entry.starts, now)
           && policy::zone_open(state, entry.vm.zone);
}

void record_batch_result(context& ctx, std::string_view worker,
                         std::string_view job, bool success)
{
    auto const found = ctx.state.workers.entries.find(worker);
    if (found == ctx.state.workers.entries.end())
    {
        return;
    }
    auto& starts = found->second.starts;
    // Results of starts that were sent before the quarantine give no new
    // information.
    if (starts.quarantined_until && ctx.now < *starts.quarantined_until)
    {
        return;
    }
    if (success)
    {
        starts = {};
        return;
    }
    if (starts.probation)
    {
        quarantine(ctx, worker, starts);
        return;
    }
    auto& jobs = starts.failed_jobs;
    if (std::find(jobs.begin(), jobs.end(), job) == jobs.end())
    {
        jobs.emplace_back(job);
    }
    if (jobs.size() >= quarantine_failures)
    {
        quarantine(ctx, worker, starts);
    }
}

bool urgent_allowed(daemon_state const& state, std::string_view worker,
                    time_ms now)
{
    auto const found = state.workers.entries.find(worker);
    if (found == state.workers.entries.end())
    {
        return false;
    }
    auto const& breaker = found->second.breaker;
    return !breaker.open
           || (now >= breaker.probe_at && breaker.probe_task.empty());
}

void record_urgent_result(context& ctx, std::string_view worker, bool success)
{
    auto const found = ctx.state.workers.entries.find(worker);
    if (found == ctx.state.workers.entries.end())
    {
        return;
    }
    auto& breaker = found->second.breaker;
    if (success)
    {
        breaker = {};
        return;
    }
    ++breaker.failures_in_a_row;
    // Late failures of starts that were sent before the breaker opened do not
    // postpone the probe.
    auto const probed = breaker.open && !breaker.probe_task.empty();
    if (probed
        || (!breaker.open && breaker.failures_in_a_row >= breaker_failures))
    {
        breaker.probe_task.clear();
        open_breaker(ctx, worker, breaker);
    }
}

} // namespace jaydrift::decide::workers
