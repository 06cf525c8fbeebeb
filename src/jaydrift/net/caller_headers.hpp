#ifndef JAYDRIFT_NET_CALLER_HEADERS_HPP
#define JAYDRIFT_NET_CALLER_HEADERS_HPP

#include <jaydrift/core/urgent_request.hpp>
#include <jaydrift/net/http_request.hpp>

#include <stdexcept>
#include <string>
#include <string_view>

namespace jaydrift::net {

/// A header or a part of the path of a caller's request is wrong; the message
/// names it.
class field_error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// Returns an identifier of 1 to 128 printable characters without `/`.
///
/// @throws field_error if it is none; the message starts with `what`.
std::string check_id(std::string_view word, std::string_view what);

/// Returns the region that the caller names, or an empty string.
///
/// @throws field_error if it is malformed.
std::string home_region(http_request const& request);

/// Builds an urgent request from the path's identifier, headers and body.
///
/// @throws field_error if one of them is missing or malformed.
urgent_request parse_urgent(std::string_view id, http_request request);

} // namespace jaydrift::net

#endif // JAYDRIFT_NET_CALLER_HEADERS_HPP
