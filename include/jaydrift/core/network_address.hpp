#ifndef JAYDRIFT_CORE_NETWORK_ADDRESS_HPP
#define JAYDRIFT_CORE_NETWORK_ADDRESS_HPP

#include <string_view>

namespace jaydrift {

/// Returns whether a text is an address that a process can be reached at: a
/// numeric IPv4 address, or an IPv6 address in brackets, followed by a colon
/// and a port from 1 to 65535.
bool is_network_address(std::string_view text);

} // namespace jaydrift

#endif // JAYDRIFT_CORE_NETWORK_ADDRESS_HPP
