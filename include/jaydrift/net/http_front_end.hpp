#ifndef JAYDRIFT_NET_HTTP_FRONT_END_HPP
#define JAYDRIFT_NET_HTTP_FRONT_END_HPP

#include <jaydrift/net/front_end_handlers.hpp>
#include <jaydrift/net/http_server.hpp>

#include <cstdint>

namespace jaydrift::net {

/// Serves the callers' API over HTTP.
///
/// A request whose responder is destroyed without an answer is answered as
/// `unknown`, because it may have run.
class http_front_end
{
public:
    /// Binds the address and starts to serve.
    ///
    /// @throws net_error if the address cannot be bound.
    http_front_end(http_settings const& settings,
                   front_end_handlers const& handlers);

    std::uint16_t port() const { return server_.port(); }

    /// Closes the listening socket; open connections are served on, and closed
    /// after their next answer.
    void stop_accepting() { server_.stop_accepting(); }

    /// Stops accepting, closes idle connections and waits until the handlers in
    /// flight have answered.
    void stop() { server_.stop(); }

private:
    http_server server_;
};

} // namespace jaydrift::net

#endif // JAYDRIFT_NET_HTTP_FRONT_END_HPP
