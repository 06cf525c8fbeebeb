#ifndef JAYDRIFT_DECIDE_HEARTBEATS_HPP
#define JAYDRIFT_DECIDE_HEARTBEATS_HPP

#include <jaydrift/core/time_ms.hpp>

namespace jaydrift::decide {

struct context;
struct daemon_state;

/// Sends this daemon's heartbeats; part of the membership module.
namespace heartbeats {

/// Sends every heartbeat that is due.
void advance(context& ctx);

/// Returns when `advance` is next due.
time_ms next_timer(daemon_state const& state);

} // namespace heartbeats

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_HEARTBEATS_HPP
