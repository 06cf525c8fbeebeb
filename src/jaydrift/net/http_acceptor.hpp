#ifndef JAYDRIFT_NET_HTTP_ACCEPTOR_HPP
#define JAYDRIFT_NET_HTTP_ACCEPTOR_HPP

#include "unique_fd.hpp"
#include "wake_event.hpp"

#include <cstdint>
#include <functional>
#include <string_view>
#include <thread>

namespace jaydrift::net {

/// Accepts TCP connections on its own thread.
class http_acceptor
{
public:
    /// Takes over an accepted connection; called on the thread of the acceptor.
    using connection_handler = std::function<void(unique_fd)>;

    /// Listens on `address` (`ip:port`) and starts to accept.
    ///
    /// @throws net_error if the address cannot be bound.
    http_acceptor(std::string_view address, connection_handler on_connection);
    http_acceptor(http_acceptor const&) = delete;
    http_acceptor& operator=(http_acceptor const&) = delete;

    /// Calls `stop`.
    ~http_acceptor();

    std::uint16_t port() const { return port_; }

    /// Ends the thread and closes the listening socket.
    void stop();

private:
    void accept_connections();
    /// Waits for the retry delay or for `stop`.
    void wait_before_retry() const;

    unique_fd socket_;
    std::uint16_t port_;
    connection_handler on_connection_;
    wake_event stop_event_;
    std::thread thread_;
};

} // namespace jaydrift::net

#endif // JAYDRIFT_NET_HTTP_ACCEPTOR_HPP
