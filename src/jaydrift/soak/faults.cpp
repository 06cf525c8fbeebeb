#include "faults.hpp"

#include "fault_helpers.hpp"
#include "simulated_platform.hpp"

#include <jaydrift/soak/soak_state.hpp>

#include <csignal>
#include <string>
#include <string_view>

namespace jaydrift::soak::faults {

namespace {

constexpr std::int64_t fault_jitter_ms = 900;
constexpr time_ms min_fault_interval{200};

/// One fault in this many begins a series of faults of its kind.
constexpr std::uint64_t series_one_in = 4;
constexpr std::uint64_t min_series = 2;
constexpr std::uint64_t series_jitter = 4;
constexpr std::int64_t max_series_interval_ms = 120;

/// Longest time between the stops of daemons that are stopped in turn; they
/// overlap if it is below `stop_grace`.
constexpr std::int64_t max_stop_interval_ms = 1500;

/// A daemon that got SIGTERM is killed after this time, which is its setting
/// graceS.
constexpr time_ms stop_grace{6000};
constexpr std::uint64_t worker_failing_percent = 30;

std::size_t random_daemon(soak_state& state)
{
    return state.random.below(state.daemons.size());
}

std::size_t random_worker(soak_state& state)
{
    return state.random.below(state.workers.size());
}

void terminate(soak_state& state, std::size_t number, time_ms now,
               effect_list& effects)
{
    auto& daemon = state.daemons[number];
    if (daemon.running && !daemon.stopping)
    {
        daemon.stopping = true;
        daemon.kill_at = now + stop_grace;
        effects.push_back(signal_process{number, SIGTERM});
    }
}

void pause(soak_state& state, std::size_t number, time_ms until,
           effect_list& effects)
{
    auto& daemon = state.daemons[number];
    if (daemon.running && !daemon.paused)
    {
        daemon.paused = true;
        daemon.disturbed = true;
        state.daemon_resumes[number] = until;
        effects.push_back(signal_process{number, SIGSTOP});
    }
}

void resume(soak_state& state, std::size_t number, effect_list& effects)
{
    auto& daemon = state.daemons[number];
    if (daemon.paused)
    {
        daemon.paused = false;
        effects.push_back(signal_process{number, SIGCONT});
    }
}

void stop_in_turn(soak_state& state, time_ms now)
{
    auto at = now;
    for (std::size_t i = 0; i < state.daemons.size(); ++i)
    {
        state.daemon_stops[i] = at;
        at += random_time(state.random, 0, max_stop_interval_ms);
    }
}

std::string_view name_of(link_mode mode)
{
    static constexpr std::string_view names[] = {
        "pass", "delay", "reset", "silent", "one way", "slow", "shared"};
    return names[static_cast<std::size_t>(mode)];
}

void begin_link_fault(soak_state& state, link_id link, time_ms until,
                      time_ms now, effect_list& effects)
{
    constexpr link_mode fault_modes[] = {link_mode::delay, link_mode::reset,
                                         link_mode::silent, link_mode::one_way};
    auto const mode = fault_modes[state.random.below(std::size(fault_modes))];
    if (!link.to_worker)
    {
        state.daemons[link.number].disturbed = true;
    }
    state.faulty_links[link] = until;
    effects.push_back(set_link{link, mode});
    print(effects, now,
          std::string(link.to_worker ? "link to worker "
                                     : "link to the store of daemon ")
              + std::to_string(link.number) + ": "
              + std::string(name_of(mode)));
}

void end_evacuation(soak_state& state)
{
    if (state.evacuated_zone)
    {
        state.store.remove("op/evacuate/" + *state.evacuated_zone);
        state.evacuated_zone.reset();
    }
}

void evacuate_zone(soak_state& state, time_ms until, time_ms now,
                   effect_list& effects)
{
    if (state.evacuated_zone)
    {
        end_evacuation(state);
        print(effects, now, "evacuation ended early");
    }
    else
    {
        state.evacuated_zone = state.random.below(2) == 0 ? "a" : "b";
        state.evacuated_at = now;
        state.evacuation_until = until;
        state.store.put("op/evacuate/" + *state.evacuated_zone, "e30=");
        print(effects, now, "zone " + *state.evacuated_zone + " evacuated");
    }
}

void begin_store_fault(soak_state& state, time_ms now, effect_list& effects)
{
    switch (state.random.below(4))
    {
    case 0:
        state.store_outage_until = now + random_time(state.random, 500, 4000);
        print(effects, now, "store out");
        return;
    case 1:
        state.lost_answer_percent = 10 + state.random.below(40);
        state.message_faults_until =
            now + random_time(state.random, 1000, 4000);
        print(effects, now, "some answers of the store to writes are lost");
        return;
    case 2:
        state.store.compact();
        print(effects, now, "history of the store compacted");
        return;
    default:
        begin_link_fault(state, {false, random_daemon(state)},
                         now + random_time(state.random, 500, 5000), now,
                         effects);
    }
}

void set_high_tails(soak_state& state, bool high)
{
    for (auto& worker : state.workers)
    {
        worker.high_tails = high;
    }
}

void begin_worker_fault(soak_state& state, time_ms now, effect_list& effects)
{
    auto const worker = random_worker(state);
    switch (state.random.below(5))
    {
    case 0:
        simulated_platform::crash_worker(
            state, worker, now + random_time(state.random, 300, 2000));
        print(effects, now, "worker " + std::to_string(worker) + " crashes");
        return;
    case 1:
        state.late_order_percent = 2 + state.random.below(8);
        state.message_faults_until =
            now + random_time(state.random, 1000, 4000);
        print(effects, now, "some orders to workers are carried out late");
        return;
    case 2:
        state.workers[worker].failing_percent =
            state.workers[worker].failing_percent > 0 ? 0
                                                      : worker_failing_percent;
        print(effects, now,
              "worker " + std::to_string(worker)
                  + ": task failures switched on or off");
        return;
    case 3:
        raise_tails(state, now + random_time(state.random, 2000, 20000), now,
                    effects);
        return;
    default:
        begin_link_fault(state, {true, worker},
                         now + random_time(state.random, 500, 5000), now,
                         effects);
    }
}

void begin_daemon_fault(soak_state& state, time_ms now, effect_list& effects)
{
    auto const number = random_daemon(state);
    auto const name = "daemon " + std::to_string(number);
    switch (state.random.below(5))
    {
    case 0:
        kill(state, number, effects);
        print(effects, now, name + " killed");
        return;
    case 1:
        pause(state, number, now + random_time(state.random, 300, 4000),
              effects);
        print(effects, now, name + " paused");
        return;
    case 2:
        if (state.random.below(4) == 0)
        {
            for (std::size_t i = 0; i < state.daemons.size(); ++i)
            {
                kill(state, i, effects);
            }
            print(effects, now, "all daemons killed");
            return;
        }
        effects.push_back(signal_process{number, SIGHUP});
        print(effects, now, name + " reloads its settings");
        return;
    case 3:
        if (state.random.below(4) == 0)
        {
            stop_in_turn(state, now);
            print(effects, now, "all daemons told to stop in turn");
            return;
        }
        [[fallthrough]];
    default:
        terminate(state, number, now, effects);
        print(effects, now, name + " told to stop");
    }
}

/// Draws the kind of the fault that is due, unless it belongs to a series, and
/// the time of the next one.
void schedule_next(soak_state& state, time_ms now)
{
    if (state.faults_left_in_series > 0)
    {
        --state.faults_left_in_series;
    }
    else
    {
        state.fault_kind = state.random.below(8);
        state.faults_left_in_series =
            state.random.below(series_one_in) == 0
                ? min_series + state.random.below(series_jitter)
                : 0;
    }
    state.next_fault =
        now
        + (state.faults_left_in_series > 0
               ? random_time(state.random, 0, max_series_interval_ms)
               : min_fault_interval
                     + random_time(state.random, 0, fault_jitter_ms));
}

} // namespace

void kill(soak_state& state, std::size_t number, effect_list& effects)
{
    auto& daemon = state.daemons[number];
    if (daemon.running)
    {
        daemon.disturbed = true;
        daemon.killed = true;
        effects.push_back(signal_process{number, SIGKILL});
    }
}

void begin(soak_state& state, time_ms now, effect_list& effects)
{
    if (now < state.next_fault)
    {
        return;
    }
    schedule_next(state, now);
    auto const kind = state.fault_kind;
    if (kind == 0)
    {
        change_configuration(state, now, effects);
        return;
    }
    if (kind == 1)
    {
        evacuate_zone(state, now + random_time(state.random, 3000, 9000), now,
                      effects);
        return;
    }
    state.disturbed_at = now;
    if (kind < 4)
    {
        begin_daemon_fault(state, now, effects);
    }
    else if (kind < 6)
    {
        begin_store_fault(state, now, effects);
    }
    else
    {
        begin_worker_fault(state, now, effects);
    }
}

void change_configuration(soak_state& state, time_ms now, effect_list& effects)
{
    ++state.config_version;
    state.queue_changed_at = now;
    simulated_platform::write_configuration(state);
    print(effects, now,
          "configuration changed to version "
              + std::to_string(state.config_version));
}

void raise_tails(soak_state& state, time_ms until, time_ms now,
                 effect_list& effects)
{
    set_high_tails(state, true);
    state.high_tails_until = until;
    print(effects, now, "tail latencies rise");
}

void tick(soak_state& state, time_ms now, effect_list& effects)
{
    std::erase_if(state.faulty_links, [&](auto const& each) {
        if (now >= each.second)
        {
            state.disturbed_at = now;
            effects.push_back(set_link{each.first, link_mode::pass});
        }
        return now >= each.second;
    });
    std::erase_if(state.worker_restarts, [&](auto const& each) {
        if (now >= each.second)
        {
            simulated_platform::restart_worker(state, each.first, now);
        }
        return now >= each.second;
    });
    std::erase_if(state.daemon_resumes, [&](auto const& each) {
        if (now >= each.second)
        {
            state.disturbed_at = now;
            resume(state, each.first, effects);
        }
        return now >= each.second;
    });
    std::erase_if(state.daemon_stops, [&](auto const& each) {
        if (now >= each.second)
        {
            state.disturbed_at = now;
            terminate(state, each.first, now, effects);
        }
        return now >= each.second;
    });
    if (state.store_outage_until && now >= *state.store_outage_until)
    {
        state.disturbed_at = now;
        state.store_outage_until.reset();
    }
    if (state.message_faults_until && now >= *state.message_faults_until)
    {
        state.disturbed_at = now;
        state.message_faults_until.reset();
        state.lost_answer_percent = 0;
        state.late_order_percent = 0;
    }
    if (state.high_tails_until && now >= *state.high_tails_until)
    {
        state.high_tails_until.reset();
        set_high_tails(state, false);
        print(effects, now, "tail latencies fall");
    }
    if (state.evacuated_zone && now >= state.evacuation_until)
    {
        end_evacuation(state);
    }
    for (std::size_t i = 0; i < state.daemons.size(); ++i)
    {
        auto& daemon = state.daemons[i];
        if (daemon.start_at && now >= *daemon.start_at)
        {
            daemon = {};
            daemon.running = true;
            state.daemon_started_at = now;
            effects.push_back(start_process{i});
        }
        if (daemon.kill_at && now >= *daemon.kill_at)
        {
            daemon.kill_at.reset();
            if (!daemon.disturbed)
            {
                state.oracle.add_violation(
                    "daemon " + std::to_string(i)
                    + " did not exit in time after SIGTERM");
            }
            kill(state, i, effects);
        }
    }
}

void end_all(soak_state& state, time_ms now, effect_list& effects)
{
    state.disturbed_at = now;
    for (auto& [link, until] : state.faulty_links)
    {
        until = now;
    }
    for (auto& [worker, until] : state.worker_restarts)
    {
        until = now;
    }
    for (auto& [daemon, until] : state.daemon_resumes)
    {
        until = now;
    }
    state.daemon_stops.clear();
    for (auto& [worker, drain] : state.draining)
    {
        drain.leave = now;
    }
    for (auto& worker : state.workers)
    {
        worker.failing_percent = 0;
    }
    state.store_outage_until =
        state.store_outage_until ? std::optional(now) : std::nullopt;
    state.message_faults_until = now;
    tick(state, now, effects);
}

} // namespace jaydrift::soak::faults
