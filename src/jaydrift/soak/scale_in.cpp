#include "scale_in.hpp"

#include "fault_helpers.hpp"
#include "simulated_platform.hpp"

#include <jaydrift/soak/soak_state.hpp>

#include <algorithm>
#include <string>

namespace jaydrift::soak::scale_in {

namespace {

/// Nothing may start on a worker this long after the store has acknowledged
/// that it drains.
constexpr time_ms drain_limit{4000};

/// Between the faults of `begin`, which last for a time in these ranges.
constexpr std::int64_t min_interval_ms = 2000;
constexpr std::int64_t max_interval_ms = 8000;
constexpr std::int64_t min_serving_ms = 2500;
constexpr std::int64_t max_serving_ms = 8000;
constexpr std::int64_t min_slow_ms = 1000;
constexpr std::int64_t max_slow_ms = 4000;

/// One congested link in this many is slower than what the workers write.
constexpr std::uint64_t congested_one_in = 3;

/// One worker in this many drains.
constexpr std::size_t drained_one_in = 4;

/// Times of `run` since its start: congestion begins and ends, workers drain,
/// end. There is time to recover from earlier faults, and time for a daemon to
/// read all entries again between the congestion and the drain.
constexpr time_ms congestion_start{3000};
constexpr time_ms congestion_end{10000};
constexpr time_ms drain_start{12500};
constexpr time_ms end{20000};
constexpr time_ms serving_time{7000};
constexpr time_ms absence{1500};

/// Rates of links in percent of what the workers' heartbeats take. A daemon
/// that reads all entries again needs 1.25 s at the lowest rate above 100.
constexpr std::uint64_t congested_percent = 25;
constexpr std::uint64_t min_slow_percent = 120;
constexpr std::uint64_t slow_percent_jitter = 40;
constexpr std::size_t min_bytes_per_second = 4096;

/// Size of an event of a watch without the value of its item.
constexpr std::size_t event_overhead_bytes = 90;
constexpr double heartbeats_per_second = 0.67;

/// Returns a rate in percent of the bytes a second that a watch of all workers'
/// entries brings.
std::size_t rate_of(soak_state const& state, std::uint64_t percent)
{
    // Values are base64, 4 bytes for 3.
    auto const size =
        state.workers.front().record().size() * 4 / 3 + event_overhead_bytes;
    auto const all = static_cast<double>(size * state.workers.size())
                     * heartbeats_per_second;
    return std::max(
        min_bytes_per_second,
        static_cast<std::size_t>(all * static_cast<double>(percent) / 100));
}

void slow_link(soak_state& state, std::size_t daemon, std::uint64_t percent,
               time_ms until, time_ms now, effect_list& effects)
{
    link_id const link{false, daemon};
    auto const rate = rate_of(state, percent);
    state.daemons[daemon].disturbed = true;
    state.faulty_links[link] = until;
    effects.push_back(set_link{link, link_mode::slow, rate});
    print(effects, now,
          "link to the store of daemon " + std::to_string(daemon) + ": "
              + std::to_string(rate) + " bytes a second");
}

std::uint64_t random_percent(soak_state& state)
{
    return min_slow_percent + state.scale_in_random.below(slow_percent_jitter);
}

} // namespace

void drain_workers(soak_state& state, random_source& random, time_ms leave,
                   time_ms now, effect_list& effects)
{
    if (state.workers.size() < drained_one_in || state.store_outage_until)
    {
        return;
    }
    std::string names;
    for (std::size_t i = 0; i < state.workers.size() / drained_one_in; ++i)
    {
        auto const number = random.below(state.workers.size());
        auto& worker = state.workers[number];
        if (!worker.up() || worker.draining)
        {
            continue;
        }
        worker.draining = true;
        simulated_platform::publish_worker(state, number);
        state.draining[number] = {now, leave};
        names += " " + worker.id();
    }
    print(effects, now, "drain:" + names);
}

void begin(soak_state& state, time_ms now, effect_list& effects)
{
    if (now < state.next_scale_in)
    {
        return;
    }
    state.next_scale_in =
        now
        + random_time(state.scale_in_random, min_interval_ms, max_interval_ms);
    if (state.scale_in_random.below(2) == 0)
    {
        drain_workers(state, state.scale_in_random,
                      now
                          + random_time(state.scale_in_random, min_serving_ms,
                                        max_serving_ms),
                      now, effects);
        return;
    }
    auto const daemon = state.scale_in_random.below(state.daemons.size());
    auto const percent = state.scale_in_random.below(congested_one_in) == 0
                             ? congested_percent
                             : random_percent(state);
    auto const until =
        now + random_time(state.scale_in_random, min_slow_ms, max_slow_ms);
    if (!state.faulty_links.contains({false, daemon}))
    {
        state.disturbed_at = now;
        slow_link(state, daemon, percent, until, now, effects);
    }
}

void tick(soak_state& state, time_ms now, effect_list& effects)
{
    std::erase_if(state.draining, [&](auto const& each) {
        auto const& [number, drain] = each;
        auto const& worker = state.workers[number];
        if (!worker.up() || !worker.draining)
        {
            return true;
        }
        if (now < drain.leave)
        {
            return false;
        }
        simulated_platform::crash_worker(state, number, now + absence);
        state.store.remove("servers/" + worker.id());
        print(effects, now, worker.id() + " leaves");
        return true;
    });
}

bool run(soak_state& state, time_ms now, effect_list& effects)
{
    using stage = soak_state::scale_in_stage;
    auto const elapsed = now - state.phase_since;
    auto const until = state.phase_since + end;
    if (state.current_scale_in == stage::calm && elapsed >= congestion_start)
    {
        state.current_scale_in = stage::congested;
        for (std::size_t i = 0; i < state.daemons.size(); ++i)
        {
            slow_link(state, i, congested_percent, until, now, effects);
        }
    }
    if (state.current_scale_in == stage::congested && elapsed >= congestion_end)
    {
        state.current_scale_in = stage::slow;
        state.disturbed_at = now;
        auto const percent = random_percent(state);
        for (std::size_t i = 0; i < state.daemons.size(); ++i)
        {
            slow_link(state, i, percent, until, now, effects);
        }
    }
    if (state.current_scale_in == stage::slow && elapsed >= drain_start)
    {
        state.current_scale_in = stage::draining;
        drain_workers(state, state.scale_in_random, now + serving_time, now,
                      effects);
    }
    return elapsed >= end;
}

void check_start(soak_state& state, std::size_t worker, time_ms now)
{
    auto const found = state.draining.find(worker);
    if (found != state.draining.end()
        && now
                   - std::max({found->second.since, state.disturbed_at,
                               state.daemon_started_at})
               > drain_limit)
    {
        state.oracle.add_violation("a task started on "
                                   + state.workers[worker].id()
                                   + " long after it began to drain");
    }
}

} // namespace jaydrift::soak::scale_in
