#include "faults.hpp"

#include "stand_ins.hpp"

#include <jaydrift/soak/state.hpp>

#include <csignal>
#include <string>
#include <string_view>

namespace jaydrift::soak::faults {

namespace {

constexpr std::uint64_t fault_spread_ms = 900;
constexpr time_ms shortest_fault_pause{200};

/// A daemon that was told to stop is killed after this.
constexpr time_ms stop_grace{6000};
constexpr std::uint64_t worker_failing_percent = 30;

time_ms between(state& s, std::int64_t low, std::int64_t high)
{
    return time_ms(low
                   + static_cast<std::int64_t>(
                       s.random.below(static_cast<std::uint64_t>(high - low))));
}

void tell(effects& out, time_ms now, std::string const& text)
{
    out.push_back(note{std::to_string(now.count()) + " " + text});
}

std::size_t any_daemon(state& s) { return s.random.below(s.daemons.size()); }

std::size_t any_worker(state& s) { return s.random.below(s.workers.size()); }

void kill(state& s, std::size_t number, effects& out)
{
    auto& daemon = s.daemons[number];
    if (daemon.running)
    {
        daemon.disturbed = true;
        daemon.killed = true;
        out.push_back(signal_process{number, SIGKILL});
    }
}

void terminate(state& s, std::size_t number, time_ms now, effects& out)
{
    auto& daemon = s.daemons[number];
    if (daemon.running && !daemon.stopping)
    {
        daemon.stopping = true;
        daemon.kill_at = now + stop_grace;
        out.push_back(signal_process{number, SIGTERM});
    }
}

void pause(state& s, std::size_t number, time_ms until, effects& out)
{
    auto& daemon = s.daemons[number];
    if (daemon.running && !daemon.paused)
    {
        daemon.paused = true;
        daemon.disturbed = true;
        s.resumes[number] = until;
        out.push_back(signal_process{number, SIGSTOP});
    }
}

void resume(state& s, std::size_t number, effects& out)
{
    auto& daemon = s.daemons[number];
    if (daemon.paused)
    {
        daemon.paused = false;
        out.push_back(signal_process{number, SIGCONT});
    }
}

std::string_view name_of(link_mode mode)
{
    static constexpr std::string_view names[] = {"pass", "delay", "reset",
                                                 "silent", "one way"};
    return names[static_cast<std::size_t>(mode)];
}

void harm_link(state& s, link_id link, time_ms until, time_ms now, effects& out)
{
    constexpr link_mode modes[] = {link_mode::delay, link_mode::reset,
                                   link_mode::silent, link_mode::one_way};
    auto const mode = modes[s.random.below(std::size(modes))];
    if (!link.to_worker)
    {
        s.daemons[link.number].disturbed = true;
    }
    s.harmed_links[link] = until;
    out.push_back(set_link{link, mode});
    tell(out, now,
         std::string(link.to_worker ? "worker " : "store link of ")
             + std::to_string(link.number) + ": " + std::string(name_of(mode)));
}

void change_configuration(state& s, time_ms now, effects& out)
{
    ++s.config_version;
    if (s.config_version % 2 == 1)
    {
        s.dropped_queue_at = now;
    }
    stand_ins::write_configuration(s);
    tell(out, now, "configuration " + std::to_string(s.config_version));
}

void close_zone(state& s, time_ms until, time_ms now, effects& out)
{
    if (!s.closed_zone)
    {
        s.closed_zone = s.random.below(2) == 0 ? "a" : "b";
        s.zone_closed_at = now;
        s.zone_opens_at = until;
        s.store.put("op/evacuate/" + *s.closed_zone, "e30=");
        tell(out, now, "zone " + *s.closed_zone + " closed");
    }
}

void open_zone(state& s)
{
    if (s.closed_zone)
    {
        s.store.remove("op/evacuate/" + *s.closed_zone);
        s.closed_zone.reset();
    }
}

void harm_store(state& s, time_ms now, effects& out)
{
    switch (s.random.below(4))
    {
    case 0:
        s.store_out_until = now + between(s, 500, 4000);
        tell(out, now, "store out");
        return;
    case 1:
        s.lost_percent = 10 + s.random.below(40);
        s.answers_lost_until = now + between(s, 1000, 4000);
        tell(out, now, "answers of the store lost");
        return;
    case 2:
        s.store.compact();
        tell(out, now, "history of the store dropped");
        return;
    default:
        harm_link(s, {false, any_daemon(s)}, now + between(s, 500, 5000), now,
                  out);
    }
}

void harm_workers(state& s, time_ms now, effects& out)
{
    auto const worker = any_worker(s);
    switch (s.random.below(4))
    {
    case 0:
        stand_ins::crash_worker(s, worker, now + between(s, 300, 2000));
        tell(out, now, "worker " + std::to_string(worker) + " crashes");
        return;
    case 1:
        s.late_percent = 2 + s.random.below(8);
        s.answers_lost_until = now + between(s, 1000, 4000);
        tell(out, now, "orders are carried out late");
        return;
    case 2:
        s.workers[worker].failing_percent =
            s.workers[worker].failing_percent > 0 ? 0 : worker_failing_percent;
        tell(out, now, "worker " + std::to_string(worker) + " fails tasks");
        return;
    default:
        harm_link(s, {true, worker}, now + between(s, 500, 5000), now, out);
    }
}

void harm_daemons(state& s, time_ms now, effects& out)
{
    auto const number = any_daemon(s);
    auto const name = "daemon " + std::to_string(number);
    switch (s.random.below(5))
    {
    case 0:
        kill(s, number, out);
        tell(out, now, name + " killed");
        return;
    case 1:
        pause(s, number, now + between(s, 300, 4000), out);
        tell(out, now, name + " paused");
        return;
    case 2:
        if (s.random.below(4) == 0)
        {
            for (std::size_t i = 0; i < s.daemons.size(); ++i)
            {
                kill(s, i, out);
            }
            tell(out, now, "all daemons killed");
            return;
        }
        out.push_back(signal_process{number, SIGHUP});
        tell(out, now, name + " reads its settings again");
        return;
    default:
        terminate(s, number, now, out);
        tell(out, now, name + " stops");
    }
}

} // namespace

void begin(state& s, time_ms now, effects& out)
{
    if (now < s.next_fault)
    {
        return;
    }
    s.next_fault = now + shortest_fault_pause
                   + between(s, 0, static_cast<std::int64_t>(fault_spread_ms));
    auto const draw = s.random.below(8);
    if (draw == 0)
    {
        change_configuration(s, now, out);
        return;
    }
    if (draw == 1)
    {
        close_zone(s, now + between(s, 3000, 9000), now, out);
        return;
    }
    s.disturbed_at = now;
    if (draw < 4)
    {
        harm_daemons(s, now, out);
    }
    else if (draw < 6)
    {
        harm_store(s, now, out);
    }
    else
    {
        harm_workers(s, now, out);
    }
}

void tick(state& s, time_ms now, effects& out)
{
    std::erase_if(s.harmed_links, [&](auto const& each) {
        if (now >= each.second)
        {
            s.disturbed_at = now;
            out.push_back(set_link{each.first, link_mode::pass});
        }
        return now >= each.second;
    });
    std::erase_if(s.restarts, [&](auto const& each) {
        if (now >= each.second)
        {
            s.workers[each.first].restart(now);
            stand_ins::list_worker(s, each.first);
        }
        return now >= each.second;
    });
    std::erase_if(s.resumes, [&](auto const& each) {
        if (now >= each.second)
        {
            s.disturbed_at = now;
            resume(s, each.first, out);
        }
        return now >= each.second;
    });
    if (s.store_out_until && now >= *s.store_out_until)
    {
        s.disturbed_at = now;
        s.store_out_until.reset();
    }
    if (s.answers_lost_until && now >= *s.answers_lost_until)
    {
        s.disturbed_at = now;
        s.answers_lost_until.reset();
        s.lost_percent = 0;
        s.late_percent = 0;
    }
    if (s.closed_zone && now >= s.zone_opens_at)
    {
        open_zone(s);
    }
    for (std::size_t i = 0; i < s.daemons.size(); ++i)
    {
        auto& daemon = s.daemons[i];
        if (daemon.start_at && now >= *daemon.start_at)
        {
            daemon = {};
            daemon.running = true;
            out.push_back(start_process{i});
        }
        if (daemon.kill_at && now >= *daemon.kill_at)
        {
            daemon.kill_at.reset();
            if (!daemon.disturbed)
            {
                s.checks.violated("daemon " + std::to_string(i)
                                  + " did not stop in time");
            }
            kill(s, i, out);
        }
    }
}

void end_all(state& s, time_ms now, effects& out)
{
    s.disturbed_at = now;
    for (auto& [link, until] : s.harmed_links)
    {
        until = now;
    }
    for (auto& [worker, until] : s.restarts)
    {
        until = now;
    }
    for (auto& [daemon, until] : s.resumes)
    {
        until = now;
    }
    for (auto& worker : s.workers)
    {
        worker.failing_percent = 0;
    }
    s.store_out_until = s.store_out_until ? std::optional(now) : std::nullopt;
    s.answers_lost_until = now;
    tick(s, now, out);
}

} // namespace jaydrift::soak::faults
