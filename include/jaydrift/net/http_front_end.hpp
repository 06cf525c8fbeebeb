#ifndef JAYDRIFT_NET_HTTP_FRONT_END_HPP
#define JAYDRIFT_NET_HTTP_FRONT_END_HPP

#include <jaydrift/net/front_end_handlers.hpp>
#include <jaydrift/net/http_server.hpp>

#include <cstdint>

namespace jaydrift::net {

/// Serves the callers' API over HTTP.
class http_front_end
{
public:
    /// Binds the address and starts to serve.
    ///
    /// @throws net_error if the address cannot be bound.
    http_front_end(http_settings const& settings, front_end_handlers handlers);

    std::uint16_t port() const { return server_.port(); }

    /// Closes the listening socket; requests in flight go on.
    void stop_accepting() { server_.stop_accepting(); }

    /// Stops accepting and waits until the handlers in flight have answered.
    void stop() { server_.stop(); }

private:
    http_server server_;
};

} // namespace jaydrift::net

#endif // JAYDRIFT_NET_HTTP_FRONT_END_HPP
