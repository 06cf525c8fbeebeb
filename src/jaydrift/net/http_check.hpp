#ifndef JAYDRIFT_NET_HTTP_CHECK_HPP
#define JAYDRIFT_NET_HTTP_CHECK_HPP

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace jaydrift::net {

/// Headers that tell how a request's body is sent, all values of each.
struct body_headers
{
    std::vector<std::string> content_length;
    std::vector<std::string> transfer_encoding;
    std::vector<std::string> content_encoding;
};

/// Returns how many bytes may be read for the body, before any is read.
///
/// @throws http_refusal if the body is too large or of an unknown form.
std::size_t check_body(body_headers const& headers, std::size_t max_body);

/// The answer to a request that did not reach a handler, for the wire.
std::string format_refusal(int status, std::string_view reason);

} // namespace jaydrift::net

#endif // JAYDRIFT_NET_HTTP_CHECK_HPP
