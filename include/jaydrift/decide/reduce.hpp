#ifndef JAYDRIFT_DECIDE_REDUCE_HPP
#define JAYDRIFT_DECIDE_REDUCE_HPP

#include <jaydrift/core/time_ms.hpp>
#include <jaydrift/decide/effect.hpp>
#include <jaydrift/decide/event.hpp>

namespace jaydrift::decide {

struct daemon_state;

/// Applies an event to the state of a daemon and returns the effects to carry
/// out.
///
/// `now` is the daemon's monotonic clock. The function is deterministic: the
/// same state, events and times give the same effects.
effect_list reduce(daemon_state& state, event const& input, time_ms now);

/// Returns when the reducer next needs a `timer_due` event.
time_ms next_timer(daemon_state const& state);

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_REDUCE_HPP
