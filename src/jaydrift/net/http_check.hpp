#ifndef JAYDRIFT_NET_HTTP_CHECK_HPP
#define JAYDRIFT_NET_HTTP_CHECK_HPP

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace jaydrift::net {

/// Headers that state how the body of a request is sent, with all their values.
struct body_headers
{
    std::vector<std::string> content_length;
    std::vector<std::string> transfer_encoding;
    std::vector<std::string> content_encoding;
};

/// Returns how many bytes may be read for the body; 0 if there is no body.
/// Called before any byte of it is read.
///
/// @throws http_refusal if the body is too large, its length is malformed or
/// given twice, or its encoding is not supported.
std::size_t check_body_headers(body_headers const& headers,
                               std::size_t max_body_bytes);

/// Formats the whole response to a request that does not reach the handler. It
/// has the outcome `not_run` and closes the connection.
std::string format_refusal(int status, std::string_view reason);

} // namespace jaydrift::net

#endif // JAYDRIFT_NET_HTTP_CHECK_HPP
