#ifndef JAYDRIFT_STANDIN_REDUCE_WORKER_HPP
#define JAYDRIFT_STANDIN_REDUCE_WORKER_HPP

#include <jaydrift/core/time_ms.hpp>
#include <jaydrift/standin/worker_effect.hpp>
#include <jaydrift/standin/worker_event.hpp>

namespace jaydrift::standin {

struct worker_state;

/// Takes one step of a worker: changes the state and returns what to do.
///
/// `now` is the worker's clock. Tasks that end and leases that lapse up to
/// `now` are handled before the event.
worker_effects reduce(worker_state& state, worker_event const& input,
                      time_ms now);

/// Returns when the worker next needs a `timer_due` event.
time_ms next_timer(worker_state const& state);

} // namespace jaydrift::standin

#endif // JAYDRIFT_STANDIN_REDUCE_WORKER_HPP
