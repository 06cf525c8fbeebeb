#ifndef JAYDRIFT_STANDIN_REDUCE_WORKER_HPP
#define JAYDRIFT_STANDIN_REDUCE_WORKER_HPP

#include <jaydrift/core/time_ms.hpp>
#include <jaydrift/standin/worker_effect.hpp>
#include <jaydrift/standin/worker_event.hpp>

namespace jaydrift::standin {

struct worker_state;

/// Applies one event to the state of a worker and returns the effects.
///
/// `now` is the worker's clock. Tasks that end and leases that expire by `now`
/// are handled before the event.
worker_effects reduce(worker_state& state, worker_event const& input,
                      time_ms now);

/// Returns when the worker next needs a `timer_due` event, or `never`.
time_ms next_timer(worker_state const& state);

} // namespace jaydrift::standin

#endif // JAYDRIFT_STANDIN_REDUCE_WORKER_HPP
