#ifndef JAYDRIFT_NET_ENDPOINT_HPP
#define JAYDRIFT_NET_ENDPOINT_HPP

#include <sys/socket.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace jaydrift::net {

/// A numeric IP address with a port.
struct endpoint
{
    sockaddr_storage address = {};
    /// Bytes of `address` that are used.
    socklen_t address_size = 0;
    /// IP address as text, without brackets.
    std::string host;
    std::uint16_t port = 0;
};

/// Parses `ip:port` or `[ipv6]:port`. Host names are not resolved.
///
/// @throws net_error if the text has another form.
endpoint parse_endpoint(std::string_view text);

} // namespace jaydrift::net

#endif // JAYDRIFT_NET_ENDPOINT_HPP
