#ifndef JAYDRIFT_NET_HTTP_ACCEPTOR_HPP
#define JAYDRIFT_NET_HTTP_ACCEPTOR_HPP

#include "unique_fd.hpp"
#include "wake_event.hpp"

#include <cstdint>
#include <functional>
#include <string_view>
#include <thread>

namespace jaydrift::net {

/// Accepts TCP connections on a thread of its own.
class http_acceptor
{
public:
    using sink = std::function<void(unique_fd)>;

    /// @throws net_error if the address cannot be bound.
    http_acceptor(std::string_view address, sink accept);
    http_acceptor(http_acceptor const&) = delete;
    http_acceptor& operator=(http_acceptor const&) = delete;
    ~http_acceptor();

    std::uint16_t port() const { return port_; }

    /// Closes the listening socket.
    void stop();

private:
    void run();
    void pause() const;

    unique_fd socket_;
    std::uint16_t port_;
    sink accept_;
    wake_event stop_;
    std::thread thread_;
};

} // namespace jaydrift::net

#endif // JAYDRIFT_NET_HTTP_ACCEPTOR_HPP
