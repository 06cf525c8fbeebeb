#ifndef JAYDRIFT_APP_CALLER_CLOCK_HPP
#define JAYDRIFT_APP_CALLER_CLOCK_HPP

#include <jaydrift/core/urgent_request.hpp>

namespace jaydrift::app {

/// Turns a request's time of issue from the callers' wall clock into this VM's
/// monotonic clock, in which the daemon decides.
void to_local_clock(urgent_request& request);

/// Turns it back, for another daemon, whose monotonic clock is different.
void to_wall_clock(urgent_request& request);

} // namespace jaydrift::app

#endif // JAYDRIFT_APP_CALLER_CLOCK_HPP
