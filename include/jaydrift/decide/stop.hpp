#ifndef JAYDRIFT_DECIDE_STOP_HPP
#define JAYDRIFT_DECIDE_STOP_HPP

#include <jaydrift/core/time_ms.hpp>

namespace jaydrift::decide {

struct context;
struct daemon_state;

/// Runs a planned stop: keep serving while the balancer learns of it, hand the
/// shards over, finish the requests in flight, then exit.
namespace stop {

void on_stop_requested(context& ctx);
void on_timer(context& ctx);

/// Tells whether a planned stop has begun; `/health` reports not ready then.
bool requested(daemon_state const& state);

/// Returns when `on_timer` is next due.
time_ms next_timer(daemon_state const& state);

} // namespace stop

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_STOP_HPP
