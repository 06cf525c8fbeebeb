#include <jaydrift/soak/reduce.hpp>

#include "callers.hpp"
#include "faults.hpp"
#include "stand_ins.hpp"

#include <jaydrift/codec/base64.hpp>

#include <string>
#include <utility>
#include <variant>

namespace jaydrift::soak {

namespace {

constexpr time_ms tick_interval{10};

/// Daemons choose their owners before faults begin.
constexpr time_ms warm_up{5000};

/// Accepted work ends, and long-running tasks run, within this time after the
/// last fault.
constexpr time_ms calm_limit{30000};
constexpr time_ms check_interval{500};

constexpr std::uint64_t restart_spread_ms = 800;
constexpr time_ms shortest_restart{500};

void enter(state& s, state::phase stage, time_ms now)
{
    s.stage = stage;
    s.stage_since = now;
    s.next_check = now;
}

std::size_t missing_tasks(state const& s)
{
    std::size_t missing = 0;
    for (auto const& id : s.checks.long_running())
    {
        missing +=
            s.checks.plan(id)->steps[0].count - s.checks.running_tasks(id);
    }
    return missing;
}

void check_calm(state& s, time_ms now, effects& out)
{
    if (now < s.next_check)
    {
        return;
    }
    s.next_check = now + check_interval;
    auto const unfinished = s.checks.unfinished();
    auto const missing = missing_tasks(s);
    if (unfinished.empty() && missing == 0)
    {
        enter(s, state::phase::cancelling, now);
        callers::cancel_all(s, now, out);
        return;
    }
    if (now - s.stage_since < calm_limit)
    {
        callers::ask_for_all(s, now, out);
        return;
    }
    for (auto const& id : unfinished)
    {
        s.checks.violated(id + " was accepted and has not ended");
    }
    if (missing > 0)
    {
        s.checks.violated(std::to_string(missing)
                          + " long-running tasks do not run");
    }
    enter(s, state::phase::cancelling, now);
    callers::cancel_all(s, now, out);
}

void check_cancelled(state& s, time_ms now)
{
    auto const cancelled = s.checks.long_running().empty();
    auto const late = now - s.stage_since > cancel_limit;
    if (!cancelled && late)
    {
        s.checks.violated("long-running submissions cannot be cancelled");
    }
    if (cancelled || late)
    {
        enter(s, state::phase::ended, now);
    }
}

void check_end(state& s, time_ms now, effects& out)
{
    if (now - s.stage_since < cancel_limit)
    {
        return;
    }
    for (auto const& id : s.checks.cancelled())
    {
        if (s.checks.running_tasks(id) > 0)
        {
            s.checks.violated(id + " was cancelled and still runs");
        }
    }
    out.push_back(finish{});
}

void tick(state& s, time_ms now, effects& out)
{
    s.next_tick = now + tick_interval;
    stand_ins::tick(s, now, out);
    faults::tick(s, now, out);
    switch (s.stage)
    {
    case state::phase::starting:
        if (now - s.stage_since >= warm_up)
        {
            s.next_fault = now;
            enter(s, state::phase::faults, now);
        }
        return;
    case state::phase::faults:
        callers::tick(s, now, out);
        faults::begin(s, now, out);
        if (now - s.stage_since >= s.settings.length)
        {
            faults::end_all(s, now, out);
            enter(s, state::phase::calm, now);
        }
        return;
    case state::phase::calm:
        return check_calm(s, now, out);
    case state::phase::cancelling:
        return check_cancelled(s, now);
    case state::phase::ended:
        return check_end(s, now, out);
    }
}

struct handler
{
    state& s;
    time_ms now;
    effects& out;

    void operator()(tick_due const&) const {}
    void operator()(request_arrived const& input) const
    {
        stand_ins::arrived(s, input, now, out);
    }
    void operator()(call_ended const& input) const
    {
        callers::ended(s, input, now, out);
    }
    void operator()(process_exited const& input) const
    {
        auto& daemon = s.daemons[input.daemon];
        if (!daemon.killed && !(daemon.stopping && input.clean))
        {
            s.checks.violated("daemon " + std::to_string(input.daemon)
                              + " ended by itself");
        }
        auto const pause =
            static_cast<std::int64_t>(s.random.below(restart_spread_ms));
        daemon = {};
        daemon.start_at = now + shortest_restart + time_ms(pause);
    }
};

} // namespace

state initial_state(options settings,
                    std::vector<std::string> const& worker_addresses,
                    time_ms now)
{
    state s;
    s.settings = std::move(settings);
    s.random = random_source(s.settings.seed);
    s.stage_since = now;
    s.next_tick = now;
    s.disturbed_at = now;
    s.daemons.resize(s.settings.daemons);
    for (auto& daemon : s.daemons)
    {
        daemon.start_at = now;
    }
    for (std::size_t i = 0; i < worker_addresses.size(); ++i)
    {
        s.workers.emplace_back("i-" + std::to_string(i), worker_addresses[i],
                               i % 2 == 0 ? "a" : "b", s.random.next());
        stand_ins::list_worker(s, i);
    }
    if (s.settings.shards > 0)
    {
        s.store.put(
            "jaydrift/coordination/layout",
            codec::encode_base64(
                "{\"shards\":" + std::to_string(s.settings.shards) + "}"));
    }
    stand_ins::write_configuration(s);
    return s;
}

effects reduce(state& s, event const& input, time_ms now)
{
    effects out;
    std::visit(handler{s, now, out}, input);
    if (now >= s.next_tick)
    {
        tick(s, now, out);
    }
    return out;
}

time_ms next_timer(state const& s) { return s.next_tick; }

} // namespace jaydrift::soak
