#ifndef JAYDRIFT_NET_HTTP_PROTOCOL_HPP
#define JAYDRIFT_NET_HTTP_PROTOCOL_HPP

#include <jaydrift/core/time_ms.hpp>
#include <jaydrift/net/http_server.hpp>

#include <memory>
#include <string_view>

namespace jaydrift::net {

class http_socket;

/// Parses requests and formats answers on the connections of a server.
class http_protocol
{
public:
    http_protocol(http_settings const& settings, http_server::handler handle);
    http_protocol(http_protocol const&) = delete;
    http_protocol& operator=(http_protocol const&) = delete;
    ~http_protocol();

    /// Serves one request. True if the connection may carry another one.
    bool serve(http_socket& socket, bool close_after) const;

private:
    class library;
    std::unique_ptr<library> library_;
    http_settings settings_;
};

/// Posts a body on a connection and returns the whole answer.
///
/// @throws net_error if there is no whole answer.
http_response post_on(http_socket& socket, std::string_view host,
                      std::string_view path, http_headers const& headers,
                      std::string_view body);

} // namespace jaydrift::net

#endif // JAYDRIFT_NET_HTTP_PROTOCOL_HPP
