#ifndef JAYDRIFT_NET_HTTP_RESPONSE_HPP
#define JAYDRIFT_NET_HTTP_RESPONSE_HPP

#include <jaydrift/net/http_headers.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace jaydrift::net {

/// An HTTP response. A server derives `Content-Length` from the body.
struct http_response
{
    int status = 200;
    http_headers headers;
    std::string body;

    /// Returns the value of the first header with this name, in any case. The
    /// view is valid as long as the response is unchanged.
    std::optional<std::string_view> header(std::string_view name) const;
};

} // namespace jaydrift::net

#endif // JAYDRIFT_NET_HTTP_RESPONSE_HPP
