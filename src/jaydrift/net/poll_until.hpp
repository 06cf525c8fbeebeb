#ifndef JAYDRIFT_NET_POLL_UNTIL_HPP
#define JAYDRIFT_NET_POLL_UNTIL_HPP

#include <jaydrift/core/time_ms.hpp>

#include <poll.h>

#include <span>

namespace jaydrift::net {

/// Returns the current time of the VM's monotonic clock, in which the deadlines
/// of socket operations are given.
time_ms monotonic_now();

/// Waits until a descriptor has an event, which poll stores in its `revents`.
/// Returns false if `deadline` (of `monotonic_now`) passed or poll failed.
bool poll_until(std::span<pollfd> descriptors, time_ms deadline);

} // namespace jaydrift::net

#endif // JAYDRIFT_NET_POLL_UNTIL_HPP
