#ifndef JAYDRIFT_NET_POLL_UNTIL_HPP
#define JAYDRIFT_NET_POLL_UNTIL_HPP

#include <jaydrift/core/time_ms.hpp>

#include <poll.h>

#include <span>

namespace jaydrift::net {

/// Returns the time of the clock that deadlines of sockets use.
time_ms socket_now();

/// Waits until a descriptor has an event; false if the deadline passed.
bool poll_until(std::span<pollfd> descriptors, time_ms deadline);

} // namespace jaydrift::net

#endif // JAYDRIFT_NET_POLL_UNTIL_HPP
