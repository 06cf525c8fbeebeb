#include "http_acceptor.hpp"

#include "poll_until.hpp"
#include "tcp_socket.hpp"

#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <utility>

namespace jaydrift::net {

namespace {

/// Later than any time that `monotonic_now` returns.
constexpr time_ms no_deadline{1'000'000'000'000};

/// Wait after a failed accept, such as when no file descriptor is free; the
/// listening socket stays readable, and the thread would spin.
constexpr time_ms accept_retry_delay{100};

} // namespace

http_acceptor::http_acceptor(std::string_view address,
                             connection_handler on_connection)
    : socket_(listen_on(address)), port_(bound_port(socket_)),
      on_connection_(std::move(on_connection)),
      thread_([this] { accept_connections(); })
{
}

http_acceptor::~http_acceptor() { stop(); }

void http_acceptor::stop()
{
    stop_event_.set();
    if (thread_.joinable())
    {
        thread_.join();
    }
}

void http_acceptor::accept_connections()
{
    std::array descriptors{pollfd{stop_event_.fd(), POLLIN, 0},
                           pollfd{socket_.value(), POLLIN, 0}};
    while (poll_until(descriptors, no_deadline) && descriptors[0].revents == 0)
    {
        unique_fd connection(accept4(socket_.value(), nullptr, nullptr,
                                     SOCK_CLOEXEC | SOCK_NONBLOCK));
        if (connection.valid())
        {
            on_connection_(std::move(connection));
        }
        else if (errno != EAGAIN && errno != ECONNABORTED && errno != EINTR)
        {
            wait_before_retry();
        }
    }
    socket_ = unique_fd();
}

void http_acceptor::wait_before_retry() const
{
    std::array descriptors{pollfd{stop_event_.fd(), POLLIN, 0}};
    poll_until(descriptors, monotonic_now() + accept_retry_delay);
}

} // namespace jaydrift::net
