#ifndef JAYDRIFT_NET_BODY_CHECKSUM_HPP
#define JAYDRIFT_NET_BODY_CHECKSUM_HPP

#include <string>
#include <string_view>

namespace jaydrift::net {

/// Header that carries the checksum of a response body.
inline constexpr char checksum_header[] = "Jaydrift-Checksum";

/// Returns the header's value: `stable_hash` of the body as 16 lower-case
/// hexadecimal digits.
std::string body_checksum(std::string_view body);

} // namespace jaydrift::net

#endif // JAYDRIFT_NET_BODY_CHECKSUM_HPP
