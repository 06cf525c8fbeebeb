#include "http_socket.hpp"

#include "http_refusal.hpp"
#include "poll_until.hpp"

#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <utility>
#include <vector>

namespace jaydrift::net {

namespace {

/// Limits on what `linger` discards from a client that goes on sending.
constexpr time_ms linger_time{1000};
constexpr std::size_t max_linger_bytes = std::size_t{4} << 20;

} // namespace

http_socket::http_socket(unique_fd socket, time_ms read_timeout,
                         time_ms write_timeout)
    : socket_(std::move(socket)), read_timeout_(read_timeout),
      write_timeout_(write_timeout)
{
}

bool http_socket::wait_for_request(time_ms timeout,
                                   std::initializer_list<int> interrupt_fds)
{
    if (buffer_begin_ < buffer_end_)
    {
        return true;
    }
    std::vector<pollfd> descriptors{{socket_.value(), POLLIN, 0}};
    for (int const fd : interrupt_fds)
    {
        descriptors.push_back({fd, POLLIN, 0});
    }
    return poll_until(descriptors, monotonic_now() + timeout)
           && descriptors.front().revents != 0 && fill_buffer() > 0;
}

void http_socket::set_read_limit(std::size_t bytes, int status)
{
    bytes_left_ = bytes;
    limit_status_ = status;
}

ssize_t http_socket::read(std::span<char> out)
{
    if (buffer_begin_ == buffer_end_)
    {
        if (!wait_for_events(POLLIN))
        {
            throw http_refusal(408, "the request did not arrive in time");
        }
        if (auto const size = fill_buffer(); size <= 0)
        {
            return size;
        }
    }
    auto const size = std::min(out.size(), buffer_end_ - buffer_begin_);
    if (size > bytes_left_)
    {
        throw http_refusal(limit_status_, "the request is too large");
    }
    bytes_left_ -= size;
    std::memcpy(out.data(), buffer_.data() + buffer_begin_, size);
    buffer_begin_ += size;
    return static_cast<ssize_t>(size);
}

ssize_t http_socket::write(std::string_view bytes)
{
    for (;;)
    {
        auto const size =
            send(socket_.value(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (size >= 0 || errno != EAGAIN || !wait_for_events(POLLOUT))
        {
            return size;
        }
    }
}

bool http_socket::wait_writable() { return wait_for_events(POLLOUT); }

void http_socket::linger()
{
    shutdown(socket_.value(), SHUT_WR);
    set_deadline(monotonic_now() + linger_time);
    std::size_t discarded = 0;
    while (discarded < max_linger_bytes && wait_for_events(POLLIN))
    {
        auto const size = fill_buffer();
        if (size <= 0)
        {
            return;
        }
        discarded += static_cast<std::size_t>(size);
    }
}

bool http_socket::wait_for_events(short events)
{
    std::array descriptors{pollfd{socket_.value(), events, 0}};
    auto const timeout = events == POLLIN ? read_timeout_ : write_timeout_;
    return poll_until(descriptors,
                      std::min(deadline_, monotonic_now() + timeout));
}

ssize_t http_socket::fill_buffer()
{
    auto const size = recv(socket_.value(), buffer_.data(), buffer_.size(), 0);
    buffer_begin_ = 0;
    buffer_end_ = size > 0 ? static_cast<std::size_t>(size) : 0;
    return size;
}

} // namespace jaydrift::net
