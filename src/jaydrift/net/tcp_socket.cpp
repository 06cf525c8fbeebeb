#include "tcp_socket.hpp"

#include "endpoint.hpp"
#include "poll_until.hpp"

#include <jaydrift/net/net_error.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <string>
#include <system_error>

namespace jaydrift::net {

namespace {

[[noreturn]] void throw_error(std::string const& action,
                              std::string_view address, int error)
{
    throw net_error("cannot " + action + ' ' + std::string(address) + ": "
                    + std::generic_category().message(error));
}

void enable_option(unique_fd const& socket, int level, int option)
{
    int const on = 1;
    setsockopt(socket.value(), level, option, &on, sizeof on);
}

/// Opens a non-blocking TCP socket for an address.
unique_fd open_socket(endpoint const& target)
{
    unique_fd opened(socket(target.address.ss_family,
                            SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK,
                            IPPROTO_TCP));
    // Headers and body are written separately. Without this option, the body
    // would wait for the acknowledgement of the headers. Accepted sockets
    // inherit the option.
    enable_option(opened, IPPROTO_TCP, TCP_NODELAY);
    return opened;
}

sockaddr const* address_of(endpoint const& target)
{
    return reinterpret_cast<sockaddr const*>(&target.address);
}

/// Returns and clears the error of a connection attempt; 0 if it succeeded.
int pending_error(unique_fd const& socket)
{
    int error = 0;
    socklen_t size = sizeof error;
    getsockopt(socket.value(), SOL_SOCKET, SO_ERROR, &error, &size);
    return error;
}

} // namespace

unique_fd listen_on(std::string_view address)
{
    auto const target = parse_endpoint(address);
    auto socket = open_socket(target);
    enable_option(socket, SOL_SOCKET, SO_REUSEADDR);
    if (bind(socket.value(), address_of(target), target.address_size) != 0
        || listen(socket.value(), SOMAXCONN) != 0)
    {
        throw_error("listen on", address, errno);
    }
    return socket;
}

std::uint16_t bound_port(unique_fd const& socket)
{
    sockaddr_storage address = {};
    socklen_t size = sizeof address;
    getsockname(socket.value(), reinterpret_cast<sockaddr*>(&address), &size);
    return ntohs(address.ss_family == AF_INET6
                     ? reinterpret_cast<sockaddr_in6&>(address).sin6_port
                     : reinterpret_cast<sockaddr_in&>(address).sin_port);
}

unique_fd connect_to(std::string_view address, time_ms deadline)
{
    auto const target = parse_endpoint(address);
    auto socket = open_socket(target);
    if (connect(socket.value(), address_of(target), target.address_size) == 0)
    {
        return socket;
    }
    if (errno != EINPROGRESS)
    {
        throw_error("connect to", address, errno);
    }
    std::array descriptors{pollfd{socket.value(), POLLOUT, 0}};
    if (!poll_until(descriptors, deadline))
    {
        throw_error("connect to", address, ETIMEDOUT);
    }
    if (auto const error = pending_error(socket))
    {
        throw_error("connect to", address, error);
    }
    return socket;
}

} // namespace jaydrift::net
