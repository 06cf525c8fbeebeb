#include <jaydrift/soak/reduce.hpp>

#include "callers.hpp"
#include "faults.hpp"
#include "large_configuration.hpp"
#include "late_orders.hpp"
#include "other_writer.hpp"
#include "scale_in.hpp"
#include "silent_store.hpp"
#include "simulated_platform.hpp"
#include "waiting_check.hpp"

#include <jaydrift/codec/base64.hpp>

#include <csignal>
#include <string>
#include <utility>
#include <variant>

namespace jaydrift::soak {

namespace {

constexpr time_ms tick_interval{10};

/// Time for the daemons to agree on shard owners before faults begin.
constexpr time_ms warm_up{5000};

/// Accepted work must end, and all long-running tasks must run, within this
/// time after the last fault.
constexpr time_ms recovery_limit{30000};
constexpr time_ms check_interval{500};

/// Time for daemons that have recovered to accept submissions.
constexpr time_ms submission_time{1000};

/// Time for serving tasks to start and report, and how long their tail
/// latencies stay high; longer than opportunistic work may wait.
constexpr time_ms serving_time{2500};
constexpr time_ms high_tails{40000};

constexpr std::uint64_t restart_jitter_ms = 800;
constexpr time_ms min_restart_delay{500};

void enter(soak_state& state, soak_state::phase next, time_ms now)
{
    state.current_phase = next;
    state.phase_since = now;
    state.next_check = now;
}

/// Number of tasks of long-running submissions that should run and do not.
std::size_t missing_tasks(soak_state const& state)
{
    std::size_t missing = 0;
    for (auto const& id : state.oracle.long_running_submissions())
    {
        missing += state.oracle.plan(id)->steps[0].count
                   - state.oracle.running_tasks(id);
    }
    return missing;
}

/// Begins the phase after `recovery` or `filling`.
void enter_next(soak_state& state, time_ms now, effect_list& effects)
{
    if (state.current_phase == soak_state::phase::recovery)
    {
        enter(state, soak_state::phase::serving, now);
        faults::raise_tails(state, now + high_tails, now, effects);
        callers::submit_serving(state, now, effects);
        return;
    }
    enter(state, soak_state::phase::cancelling, now);
    callers::cancel_all(state, now, effects);
}

/// Waits until accepted work has ended and long-running tasks run, or reports
/// what is missing at the limit. Then begins the next phase.
void check_recovery(soak_state& state, time_ms now, effect_list& effects)
{
    if (now < state.next_check)
    {
        return;
    }
    state.next_check = now + check_interval;
    waiting_check::tick(state, now);
    auto const unfinished = state.oracle.unfinished_submissions();
    auto const missing = missing_tasks(state);
    if (unfinished.empty() && missing == 0)
    {
        enter_next(state, now, effects);
        return;
    }
    if (now - state.phase_since < recovery_limit)
    {
        callers::query_all(state, now, effects);
        return;
    }
    for (auto const& id : unfinished)
    {
        state.oracle.add_violation(id + " was accepted and has not ended");
    }
    if (missing > 0)
    {
        state.oracle.add_violation(std::to_string(missing)
                                   + " long-running tasks do not run");
    }
    enter_next(state, now, effects);
}

/// Waits until all long-running submissions are cancelled, or reports at the
/// limit that some are not.
void check_cancelled(soak_state& state, time_ms now)
{
    auto const cancelled = state.oracle.long_running_submissions().empty();
    auto const late = now - state.phase_since > cancel_limit;
    if (!cancelled && late)
    {
        state.oracle.add_violation(
            "long-running submissions were not cancelled in time");
    }
    if (cancelled || late)
    {
        enter(state, soak_state::phase::stopping_tasks, now);
    }
}

/// After the cancel limit, reports cancelled submissions that still run and
/// ends the soak.
void check_end(soak_state& state, time_ms now, effect_list& effects)
{
    if (now - state.phase_since < cancel_limit)
    {
        return;
    }
    for (auto const& id : state.oracle.cancelled_submissions())
    {
        if (state.oracle.running_tasks(id) > 0)
        {
            state.oracle.add_violation(id + " was cancelled, but still runs");
        }
    }
    effects.push_back(finish{});
}

void tick(soak_state& state, time_ms now, effect_list& effects)
{
    state.next_tick = now + tick_interval;
    simulated_platform::tick(state, now, effects);
    faults::tick(state, now, effects);
    scale_in::tick(state, now, effects);
    switch (state.current_phase)
    {
    case soak_state::phase::starting:
        if (now - state.phase_since >= warm_up)
        {
            state.next_fault = now;
            enter(state,
                  state.settings.late_orders ? soak_state::phase::late_orders
                                             : soak_state::phase::faults,
                  now);
        }
        return;
    case soak_state::phase::late_orders:
        if (late_orders::run(state, now, effects))
        {
            faults::end_all(state, now, effects);
            enter(state, soak_state::phase::recovery, now);
        }
        return;
    case soak_state::phase::faults:
        callers::tick(state, now, effects);
        faults::begin(state, now, effects);
        other_writer::tick(state, now, effects);
        scale_in::begin(state, now, effects);
        if (now - state.phase_since >= state.settings.length)
        {
            faults::end_all(state, now, effects);
            other_writer::suspend(state);
            enter(state, soak_state::phase::silent_store, now);
        }
        return;
    case soak_state::phase::silent_store:
        callers::tick(state, now, effects);
        if (silent_store::run(state, now, effects))
        {
            enter(state, soak_state::phase::large_configuration, now);
        }
        return;
    case soak_state::phase::large_configuration:
        callers::tick(state, now, effects);
        if (large_configuration::run(state, now, effects))
        {
            enter(state, soak_state::phase::scaling_in, now);
        }
        return;
    case soak_state::phase::scaling_in:
        callers::tick(state, now, effects);
        if (scale_in::run(state, now, effects))
        {
            faults::end_all(state, now, effects);
            other_writer::resume(state, now, effects);
            enter(state, soak_state::phase::recovery, now);
        }
        return;
    case soak_state::phase::serving:
        if (now - state.phase_since >= serving_time)
        {
            enter(state, soak_state::phase::filling, now);
            callers::submit_opportunistic(state, now, effects);
            state.next_check = now + submission_time;
        }
        return;
    case soak_state::phase::recovery:
    case soak_state::phase::filling:
        return check_recovery(state, now, effects);
    case soak_state::phase::cancelling:
        return check_cancelled(state, now);
    case soak_state::phase::stopping_tasks:
        return check_end(state, now, effects);
    }
}

struct handler
{
    soak_state& state;
    time_ms now;
    effect_list& effects;

    void operator()(tick_due const&) const {}
    void operator()(request_arrived const& input) const
    {
        simulated_platform::arrived(state, input, now, effects);
    }
    void operator()(call_ended const& input) const
    {
        callers::ended(state, input, now, effects);
    }
    void operator()(process_exited const& input) const
    {
        auto& daemon = state.daemons[input.daemon];
        auto const killed = daemon.killed && input.signal == SIGKILL;
        auto const stopped =
            daemon.stopping && input.signal == 0 && input.status == 0;
        if (!killed && !stopped)
        {
            state.oracle.add_violation("daemon " + std::to_string(input.daemon)
                                       + " ended by itself, exit status "
                                       + std::to_string(input.status)
                                       + ", signal "
                                       + std::to_string(input.signal));
        }
        auto const jitter =
            static_cast<std::int64_t>(state.random.below(restart_jitter_ms));
        daemon = {};
        daemon.start_at = now + min_restart_delay + time_ms(jitter);
    }
};

} // namespace

soak_state initial_state(options settings,
                         std::vector<std::string> const& worker_addresses,
                         time_ms now)
{
    soak_state state;
    state.settings = std::move(settings);
    state.random = random_source(state.settings.seed);
    state.other_writer_random = random_source(~state.settings.seed);
    state.scale_in_random = random_source(state.settings.seed + 1);
    state.silent_store_random = random_source(~(state.settings.seed + 1));
    state.late_orders.random = random_source(state.settings.seed + 2);
    state.late_orders.order_random = random_source(~(state.settings.seed + 2));
    state.phase_since = now;
    state.next_tick = now;
    state.disturbed_at = now;
    state.daemons.resize(state.settings.daemons);
    for (auto& daemon : state.daemons)
    {
        daemon.start_at = now;
    }
    for (std::size_t i = 0; i < worker_addresses.size(); ++i)
    {
        state.workers.emplace_back("i-" + std::to_string(i),
                                   worker_addresses[i], i % 2 == 0 ? "a" : "b",
                                   state.settings.max_lease,
                                   state.random.next());
        if (i == soak_state::rare_worker && state.settings.shards > 1)
        {
            state.workers[i].kind = soak_state::rare_kind;
        }
        simulated_platform::publish_worker(state, i);
    }
    if (state.settings.shards > 0)
    {
        state.store.put(
            "jaydrift/coordination/layout",
            codec::encode_base64(
                "{\"shards\":" + std::to_string(state.settings.shards) + "}"));
    }
    simulated_platform::write_configuration(state);
    return state;
}

effect_list reduce(soak_state& state, event const& input, time_ms now)
{
    effect_list effects;
    std::visit(handler{state, now, effects}, input);
    if (now >= state.next_tick)
    {
        tick(state, now, effects);
    }
    return effects;
}

time_ms next_timer(soak_state const& state) { return state.next_tick; }

} // namespace jaydrift::soak
