#ifndef JAYDRIFT_SCHEDULE_REDUCE_HPP
#define JAYDRIFT_SCHEDULE_REDUCE_HPP

#include <jaydrift/core/time_ms.hpp>
#include <jaydrift/schedule/effect.hpp>
#include <jaydrift/schedule/event.hpp>

namespace jaydrift::schedule {

struct settings;
struct daemon_state;

/// Returns the state of a daemon that has just started.
daemon_state initial_state(settings options, time_ms now);

/// Handles one event. Equal states, events and times give equal effects.
effect_list reduce(daemon_state& state, event const& input, time_ms now);

/// Returns the time at which `timer_due` must come.
time_ms next_timer(daemon_state const& state);

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_REDUCE_HPP
