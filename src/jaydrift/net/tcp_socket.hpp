#ifndef JAYDRIFT_NET_TCP_SOCKET_HPP
#define JAYDRIFT_NET_TCP_SOCKET_HPP

#include "unique_fd.hpp"

#include <jaydrift/core/time_ms.hpp>

#include <cstdint>
#include <string_view>

namespace jaydrift::net {

/// Opens a listening TCP socket on `ip:port`.
///
/// @throws net_error if the address cannot be bound.
unique_fd listen_on(std::string_view address);

/// Returns the port that a socket is bound to.
std::uint16_t bound_port(unique_fd const& socket);

/// Connects to `ip:port`, which takes until `deadline` at most.
///
/// @throws net_error if there is no connection then.
unique_fd connect_to(std::string_view address, time_ms deadline);

} // namespace jaydrift::net

#endif // JAYDRIFT_NET_TCP_SOCKET_HPP
