#ifndef JAYDRIFT_SCENARIO_WORKER_NODE_HPP
#define JAYDRIFT_SCENARIO_WORKER_NODE_HPP

#include <jaydrift/core/time_ms.hpp>
#include <jaydrift/core/vm_info.hpp>
#include <jaydrift/core/worker_reply.hpp>
#include <jaydrift/standin/worker_state.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace jaydrift::scenario {

/// A simulated worker: the state of its reducer and of its VM. Times are on the
/// scenario's clock.
struct worker_node
{
    vm_info vm;
    standin::worker_state state;

    /// Whether the VM runs.
    bool alive = true;

    /// Grows with each start and each death of the VM. Calls, executions and
    /// timers of an earlier incarnation are dropped.
    std::uint64_t incarnation = 0;

    /// The worker's clock minus the scenario's clock.
    time_ms clock_offset;

    /// Number of the latest call to this worker.
    std::uint64_t last_call = 0;

    /// Handlers of the replies to open calls, by the number of the call.
    std::map<std::uint64_t, std::function<void(worker_reply const&)>> calls;

    /// Number of entries of the run log that the oracle has checked.
    std::size_t checked_log_entries = 0;

    /// When the pending timer expires; far in the future if there is none.
    time_ms timer_at;
};

} // namespace jaydrift::scenario

#endif // JAYDRIFT_SCENARIO_WORKER_NODE_HPP
