#ifndef JAYDRIFT_NET_TCP_SOCKET_HPP
#define JAYDRIFT_NET_TCP_SOCKET_HPP

#include "unique_fd.hpp"

#include <jaydrift/core/time_ms.hpp>

#include <cstdint>
#include <string_view>

namespace jaydrift::net {

/// Opens a non-blocking TCP socket that listens on `ip:port`.
///
/// @throws net_error if the address is malformed or cannot be bound.
unique_fd listen_on(std::string_view address);

/// Returns the port that a socket is bound to.
std::uint16_t bound_port(unique_fd const& socket);

/// Returns a non-blocking TCP connection to `ip:port`. Waits until `deadline`,
/// on the clock of `monotonic_now`.
///
/// @throws net_error if the address is malformed, or there is no connection by
/// then.
unique_fd connect_to(std::string_view address, time_ms deadline);

} // namespace jaydrift::net

#endif // JAYDRIFT_NET_TCP_SOCKET_HPP
