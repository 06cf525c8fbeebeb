#ifndef JAYDRIFT_HTTP_RESPONSE_HPP
#define JAYDRIFT_HTTP_RESPONSE_HPP

#include <jaydrift/http/fields.hpp>

#include <string>
#include <string_view>

namespace jaydrift::http {

/// An HTTP response, received or to be sent.
struct response
{
    unsigned status = 200;
    fields headers;
    std::string body;

    /// Returns the value of a header field, or an empty string if it is absent.
    /// Upper and lower case in the name do not matter.
    std::string_view header(std::string_view name) const;
};

} // namespace jaydrift::http

#endif // JAYDRIFT_HTTP_RESPONSE_HPP
