#ifndef JAYDRIFT_NET_HTTP_SERVER_HPP
#define JAYDRIFT_NET_HTTP_SERVER_HPP

#include <jaydrift/net/http_request.hpp>
#include <jaydrift/net/http_response.hpp>
#include <jaydrift/net/http_settings.hpp>

#include <cstdint>
#include <functional>
#include <memory>

namespace jaydrift::net {

/// HTTP server with one handler for all paths and the methods GET, HEAD, POST,
/// PUT and DELETE.
///
/// The handler is called on a thread of the server's pool, several at a time,
/// and may block that thread. The client gets status 500 if it throws.
class http_server
{
public:
    /// Returns the response to one request.
    using handler = std::function<http_response(http_request)>;

    /// Binds the address and starts to serve. While `keep_open` returns false,
    /// connections close after their next response, so that clients move to
    /// another server before this one stops. Without `keep_open`, they stay
    /// open.
    ///
    /// @throws net_error if the address cannot be bound.
    http_server(http_settings const& settings, handler handle_request,
                std::function<bool()> keep_open = nullptr);
    http_server(http_server const&) = delete;
    http_server& operator=(http_server const&) = delete;

    /// Calls `stop`.
    ~http_server();

    /// Port that the server listens on.
    std::uint16_t port() const;

    /// Closes the listening socket. Open connections are still served, and
    /// close after their next response.
    void stop_accepting();

    /// Stops accepting, closes idle connections and waits for the responses of
    /// the requests in progress.
    void stop();

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace jaydrift::net

#endif // JAYDRIFT_NET_HTTP_SERVER_HPP
