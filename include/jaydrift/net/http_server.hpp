#ifndef JAYDRIFT_NET_HTTP_SERVER_HPP
#define JAYDRIFT_NET_HTTP_SERVER_HPP

#include <jaydrift/net/http_request.hpp>
#include <jaydrift/net/http_response.hpp>
#include <jaydrift/net/http_settings.hpp>

#include <cstdint>
#include <functional>
#include <memory>

namespace jaydrift::net {

/// Serves HTTP with one handler for every method and path. The handler is
/// called on a thread of the server's pool and may wait there.
class http_server
{
public:
    using handler = std::function<http_response(http_request)>;

    /// Binds the address and starts to serve. While `keep_open` is false,
    /// connections are closed after their next answer, so that clients leave
    /// before the server stops.
    ///
    /// @throws net_error if the address cannot be bound.
    http_server(http_settings const& settings, handler handle,
                std::function<bool()> keep_open = nullptr);
    http_server(http_server const&) = delete;
    http_server& operator=(http_server const&) = delete;

    /// Calls `stop`.
    ~http_server();

    std::uint16_t port() const;

    /// Closes the listening socket. Open connections are served on, and closed
    /// after their next answer.
    void stop_accepting();

    /// Stops accepting, closes idle connections and waits until the handlers in
    /// flight have answered.
    void stop();

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace jaydrift::net

#endif // JAYDRIFT_NET_HTTP_SERVER_HPP
