#ifndef JAYDRIFT_NET_HTTP_POST_HPP
#define JAYDRIFT_NET_HTTP_POST_HPP

#include <jaydrift/core/time_ms.hpp>
#include <jaydrift/net/http_headers.hpp>
#include <jaydrift/net/http_response.hpp>
#include <jaydrift/net/rpc_result.hpp>

#include <string_view>

namespace jaydrift::net {

/// Posts a body to `address` (`ip:port`) and waits for the whole response, with
/// any status. `timeout` covers the connection, the request and the response.
///
/// A failure has `never_sent` set if no connection was established; otherwise
/// the request may have run. A response whose body does not match its checksum
/// header is such a failure too.
rpc_result<http_response> http_post(std::string_view address,
                                    std::string_view path,
                                    http_headers const& headers,
                                    std::string_view body, time_ms timeout);

} // namespace jaydrift::net

#endif // JAYDRIFT_NET_HTTP_POST_HPP
