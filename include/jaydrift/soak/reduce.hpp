#ifndef JAYDRIFT_SOAK_REDUCE_HPP
#define JAYDRIFT_SOAK_REDUCE_HPP

#include <jaydrift/core/time_ms.hpp>
#include <jaydrift/soak/effect.hpp>
#include <jaydrift/soak/event.hpp>
#include <jaydrift/soak/soak_state.hpp>

#include <string>
#include <vector>

namespace jaydrift::soak {

/// Returns the state before the first event. The daemons call the workers at
/// `worker_addresses`, one for each worker.
soak_state initial_state(options settings,
                         std::vector<std::string> const& worker_addresses,
                         time_ms now);

/// Handles one event and, if a tick is due, answers the daemons' requests,
/// sends callers' calls, begins and ends faults, and checks what was seen.
/// Equal events at equal times give equal effects for a seed.
effect_list reduce(soak_state& state, event const& input, time_ms now);

/// Returns the time at which `reduce` has to be called next.
time_ms next_timer(soak_state const& state);

} // namespace jaydrift::soak

#endif // JAYDRIFT_SOAK_REDUCE_HPP
