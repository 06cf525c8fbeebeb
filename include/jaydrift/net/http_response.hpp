#ifndef JAYDRIFT_NET_HTTP_RESPONSE_HPP
#define JAYDRIFT_NET_HTTP_RESPONSE_HPP

#include <jaydrift/net/http_headers.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace jaydrift::net {

/// An answer over HTTP. `Content-Length` is set from the body.
struct http_response
{
    int status = 200;
    http_headers headers;
    std::string body;

    /// The value of a header, whose name is compared without regard to case.
    std::optional<std::string_view> header(std::string_view name) const;
};

} // namespace jaydrift::net

#endif // JAYDRIFT_NET_HTTP_RESPONSE_HPP
