#ifndef JAYDRIFT_SCENARIO_DAEMON_NODE_HPP
#define JAYDRIFT_SCENARIO_DAEMON_NODE_HPP

#include <jaydrift/core/time_ms.hpp>
#include <jaydrift/decide/daemon_state.hpp>
#include <jaydrift/decide/event.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace jaydrift::scenario {

/// A simulated daemon: the state of its reducer and of its process. Times are
/// on the scenario's clock.
struct daemon_node
{
    std::string name;
    decide::daemon_settings settings;

    /// Created anew at each start; null before the first.
    std::unique_ptr<decide::daemon_state> state;
    bool alive = false;

    /// The process is paused: it handles no events and its timer does nothing.
    bool frozen = false;

    /// Grows with each start and each death. Replies, timeouts and timers of
    /// an earlier incarnation are dropped.
    std::uint64_t incarnation = 0;

    /// The daemon's clock minus the scenario's clock.
    time_ms clock_offset;

    /// Events that arrived while the daemon was frozen; it handles them when it
    /// resumes.
    std::deque<decide::event> deferred_events;

    /// Number of the latest call to this daemon.
    std::uint64_t last_call = 0;

    /// Handlers of the answers to open calls, by the number of the call.
    std::map<std::uint64_t, std::function<void(decide::effect const&)>> calls;

    /// When the pending timer expires; far in the future if there is none.
    time_ms timer_at;
};

} // namespace jaydrift::scenario

#endif // JAYDRIFT_SCENARIO_DAEMON_NODE_HPP
