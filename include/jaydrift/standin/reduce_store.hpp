#ifndef JAYDRIFT_STANDIN_REDUCE_STORE_HPP
#define JAYDRIFT_STANDIN_REDUCE_STORE_HPP

#include <jaydrift/core/time_ms.hpp>
#include <jaydrift/standin/store_effect.hpp>
#include <jaydrift/standin/store_event.hpp>

namespace jaydrift::standin {

struct store_state;

/// Applies one event to the state of the store and returns the effects.
store_effects reduce(store_state& state, store_event const& input, time_ms now);

/// Returns when the store next needs a `timer_due` event, or `never`.
time_ms next_timer(store_state const& state);

} // namespace jaydrift::standin

#endif // JAYDRIFT_STANDIN_REDUCE_STORE_HPP
