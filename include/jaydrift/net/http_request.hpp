#ifndef JAYDRIFT_NET_HTTP_REQUEST_HPP
#define JAYDRIFT_NET_HTTP_REQUEST_HPP

#include <jaydrift/net/http_headers.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace jaydrift::net {

/// An HTTP request that a server has read completely.
struct http_request
{
    std::string method;
    /// Path without the query, percent-decoded.
    std::string path;
    http_headers headers;
    std::string body;
    /// Names and values of the query, percent-decoded.
    std::vector<std::pair<std::string, std::string>> parameters;

    /// Returns the value of the first header with this name, in any case. The
    /// view is valid as long as the request is unchanged.
    std::optional<std::string_view> header(std::string_view name) const;
};

} // namespace jaydrift::net

#endif // JAYDRIFT_NET_HTTP_REQUEST_HPP
