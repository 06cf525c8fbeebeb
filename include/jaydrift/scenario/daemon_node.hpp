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

/// A daemon in a scenario: its reducer's state and whether it runs.
struct daemon_node
{
    std::string name;
    decide::daemon_settings settings;
    std::unique_ptr<decide::daemon_state> state;
    bool alive = false;
    bool frozen = false;

    /// Grows with each restart; messages to an earlier life are dropped.
    std::uint64_t incarnation = 0;

    /// Difference of the daemon's clock from the scenario's.
    time_ms clock_offset;

    /// Events that arrived while the daemon was frozen.
    std::deque<decide::event> waiting;

    /// What to do with the answer of each open call to this daemon.
    std::uint64_t last_call = 0;
    std::map<std::uint64_t, std::function<void(decide::effect const&)>> calls;
    time_ms timer_at;
};

} // namespace jaydrift::scenario

#endif // JAYDRIFT_SCENARIO_DAEMON_NODE_HPP
