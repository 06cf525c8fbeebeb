#ifndef JAYDRIFT_NET_HTTP_FRONT_END_HPP
#define JAYDRIFT_NET_HTTP_FRONT_END_HPP

#include <jaydrift/net/front_end_handlers.hpp>
#include <jaydrift/net/http_server.hpp>

#include <cstdint>

namespace jaydrift::net {

/// Serves the callers' API over HTTP.
///
/// If the responder of a request is destroyed without a reply, the caller gets
/// the outcome `unknown`, because the request may have run.
class http_front_end
{
public:
    /// Binds the address and starts to serve. Keeps a copy of the handlers.
    ///
    /// @throws net_error if the address cannot be bound.
    http_front_end(http_settings const& settings,
                   front_end_handlers const& handlers);

    /// Port that the front end listens on.
    std::uint16_t port() const { return server_.port(); }

    /// Closes the listening socket. Open connections are still served, and
    /// close after their next response.
    void stop_accepting() { server_.stop_accepting(); }

    /// Stops accepting, closes idle connections and waits for the responses of
    /// the requests in progress.
    void stop() { server_.stop(); }

private:
    http_server server_;
};

} // namespace jaydrift::net

#endif // JAYDRIFT_NET_HTTP_FRONT_END_HPP
