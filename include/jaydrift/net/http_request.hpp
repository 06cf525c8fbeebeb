#ifndef JAYDRIFT_NET_HTTP_REQUEST_HPP
#define JAYDRIFT_NET_HTTP_REQUEST_HPP

#include <jaydrift/net/http_headers.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace jaydrift::net {

/// A request that an HTTP server has read whole.
struct http_request
{
    std::string method;
    /// Path without the query.
    std::string path;
    http_headers headers;
    std::string body;
    /// Names and values of the query, decoded.
    std::vector<std::pair<std::string, std::string>> parameters;

    /// The value of a header, whose name is compared without regard to case.
    std::optional<std::string_view> header(std::string_view name) const;
};

} // namespace jaydrift::net

#endif // JAYDRIFT_NET_HTTP_REQUEST_HPP
