#ifndef JAYDRIFT_STANDIN_REDUCE_BACKEND_HPP
#define JAYDRIFT_STANDIN_REDUCE_BACKEND_HPP

#include <jaydrift/core/time_ms.hpp>
#include <jaydrift/standin/backend_effect.hpp>
#include <jaydrift/standin/backend_event.hpp>

namespace jaydrift::standin {

struct backend_state;

/// Applies one event to the state of a backend server and returns the effects.
backend_effects reduce(backend_state& state, backend_event const& input,
                       time_ms now);

/// Returns when the backend server next needs a `timer_due` event, or `never`.
time_ms next_timer(backend_state const& state);

} // namespace jaydrift::standin

#endif // JAYDRIFT_STANDIN_REDUCE_BACKEND_HPP
