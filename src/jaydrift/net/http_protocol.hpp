#ifndef JAYDRIFT_NET_HTTP_PROTOCOL_HPP
#define JAYDRIFT_NET_HTTP_PROTOCOL_HPP

#include <jaydrift/core/time_ms.hpp>
#include <jaydrift/net/http_server.hpp>

#include <memory>
#include <string_view>

namespace jaydrift::net {

class http_socket;

/// Reads requests from the connections of a server, passes them to the handler
/// and writes the responses. May be used by several threads at a time, each
/// with its own connection.
class http_protocol
{
public:
    http_protocol(http_settings const& settings,
                  http_server::handler handle_request);
    http_protocol(http_protocol const&) = delete;
    http_protocol& operator=(http_protocol const&) = delete;
    ~http_protocol();

    /// Serves one request. Returns true if the connection may carry another
    /// one, which is never so with `close_after_response`.
    bool serve(http_socket& socket, bool close_after_response) const;

private:
    class httplib_server;
    std::unique_ptr<httplib_server> server_;
    http_settings settings_;
};

/// Posts a body over a connection and returns the whole response. `host` is the
/// value of the `Host` header.
///
/// @throws net_error if there is no whole response.
http_response send_post(http_socket& socket, std::string_view host,
                        std::string_view path, http_headers const& headers,
                        std::string_view body);

} // namespace jaydrift::net

#endif // JAYDRIFT_NET_HTTP_PROTOCOL_HPP
