#ifndef JAYDRIFT_APP_CALLER_CLOCK_HPP
#define JAYDRIFT_APP_CALLER_CLOCK_HPP

#include <jaydrift/core/urgent_request.hpp>

namespace jaydrift::app {

/// Converts `issued_at`, if set, from the callers' wall clock to this VM's
/// monotonic clock, which the daemon's decisions use.
void to_monotonic_clock(urgent_request& request);

/// Converts `issued_at`, if set, from this VM's monotonic clock to the wall
/// clock, for another daemon, whose monotonic clock differs.
void to_wall_clock(urgent_request& request);

} // namespace jaydrift::app

#endif // JAYDRIFT_APP_CALLER_CLOCK_HPP
