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

/// A worker in a scenario: the stand-in's state and whether the VM runs.
struct worker_node
{
    vm_info vm;
    standin::worker_state state;
    bool alive = true;
    std::uint64_t incarnation = 0;

    /// Difference of the worker's clock from the scenario's.
    time_ms clock_offset;
    std::uint64_t last_call = 0;
    std::map<std::uint64_t, std::function<void(worker_reply const&)>> calls;

    /// Entries of the run log that the oracle has seen.
    std::size_t log_seen = 0;
    time_ms timer_at;
};

} // namespace jaydrift::scenario

#endif // JAYDRIFT_SCENARIO_WORKER_NODE_HPP
