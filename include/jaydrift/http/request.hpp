#ifndef JAYDRIFT_HTTP_REQUEST_HPP
#define JAYDRIFT_HTTP_REQUEST_HPP

#include <jaydrift/http/fields.hpp>

#include <string>
#include <string_view>

namespace jaydrift::http {

/// An HTTP request, received or to be sent.
struct request
{
    std::string method = "GET";

    /// Path and query.
    std::string target;
    /// Value of the Host header; if empty, the client sends the address.
    std::string host;
    fields headers;
    std::string body;

    /// Returns the value of a header field, or an empty string if it is absent.
    /// Upper and lower case in the name do not matter.
    std::string_view header(std::string_view name) const;
};

} // namespace jaydrift::http

#endif // JAYDRIFT_HTTP_REQUEST_HPP
