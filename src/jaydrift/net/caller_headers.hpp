#ifndef JAYDRIFT_NET_CALLER_HEADERS_HPP
#define JAYDRIFT_NET_CALLER_HEADERS_HPP

#include <jaydrift/core/urgent_request.hpp>
#include <jaydrift/net/http_request.hpp>

#include <stdexcept>
#include <string>
#include <string_view>

namespace jaydrift::net {

/// Thrown if a header or the identifier in the path of a caller's request is
/// missing or malformed. The message starts with the name of that field.
class request_field_error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// Returns `id` if it has 1 to 128 printable ASCII characters and no `/`.
///
/// @throws request_field_error otherwise; the message starts with `field`.
std::string check_id(std::string_view id, std::string_view field);

/// Returns the value of `Jaydrift-Home-Region`, or an empty string if the
/// header is absent.
///
/// @throws request_field_error if it is malformed.
std::string parse_home_region(http_request const& request);

/// Builds an urgent request from the identifier in the path, the headers and
/// the body.
///
/// @throws request_field_error if the identifier or a header is malformed, or a
/// required header is missing.
urgent_request parse_urgent_request(std::string_view id, http_request request);

} // namespace jaydrift::net

#endif // JAYDRIFT_NET_CALLER_HEADERS_HPP
