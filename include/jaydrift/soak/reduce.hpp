#ifndef JAYDRIFT_SOAK_REDUCE_HPP
#define JAYDRIFT_SOAK_REDUCE_HPP

#include <jaydrift/core/time_ms.hpp>
#include <jaydrift/soak/effect.hpp>
#include <jaydrift/soak/event.hpp>
#include <jaydrift/soak/state.hpp>

#include <string>
#include <vector>

namespace jaydrift::soak {

/// Returns the state before the first event. `worker_addresses` are those that
/// the daemons call.
state initial_state(options settings,
                    std::vector<std::string> const& worker_addresses,
                    time_ms now);

/// Takes one step: stand-ins answer, callers call, faults begin and end, and
/// what is seen is checked.
effects reduce(state& s, event const& input, time_ms now);

/// Returns the time at which `reduce` has to be called next.
time_ms next_timer(state const& s);

} // namespace jaydrift::soak

#endif // JAYDRIFT_SOAK_REDUCE_HPP
