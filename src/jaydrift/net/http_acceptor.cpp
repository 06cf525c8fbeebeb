#include "http_acceptor.hpp"

#include "poll_until.hpp"
#include "tcp_socket.hpp"

#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <utility>

namespace jaydrift::net {

namespace {

constexpr time_ms forever{1'000'000'000'000};

/// Wait after an accept that failed, such as without file descriptors left.
constexpr time_ms pause_time{100};

} // namespace

http_acceptor::http_acceptor(std::string_view address, sink accept)
    : socket_(listen_on(address)), port_(bound_port(socket_)),
      accept_(std::move(accept)), thread_([this] { run(); })
{
}

http_acceptor::~http_acceptor() { stop(); }

void http_acceptor::stop()
{
    stop_.set();
    if (thread_.joinable())
    {
        thread_.join();
    }
}

void http_acceptor::run()
{
    std::array waits{pollfd{stop_.fd(), POLLIN, 0},
                     pollfd{socket_.value(), POLLIN, 0}};
    while (poll_until(waits, forever) && waits[0].revents == 0)
    {
        unique_fd connection(accept4(socket_.value(), nullptr, nullptr,
                                     SOCK_CLOEXEC | SOCK_NONBLOCK));
        if (connection.valid())
        {
            accept_(std::move(connection));
        }
        else if (errno != EAGAIN && errno != ECONNABORTED && errno != EINTR)
        {
            pause();
        }
    }
    socket_ = unique_fd();
}

void http_acceptor::pause() const
{
    std::array waits{pollfd{stop_.fd(), POLLIN, 0}};
    poll_until(waits, socket_now() + pause_time);
}

} // namespace jaydrift::net
