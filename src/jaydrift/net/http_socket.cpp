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

/// Longest time and most bytes that a refused client may go on sending.
constexpr time_ms linger_time{1000};
constexpr std::size_t linger_bytes = std::size_t{4} << 20;

} // namespace

http_socket::http_socket(unique_fd socket, time_ms read_patience,
                         time_ms write_patience)
    : socket_(std::move(socket)), read_patience_(read_patience),
      write_patience_(write_patience)
{
}

bool http_socket::wait_for_request(time_ms patience,
                                   std::initializer_list<int> interrupts)
{
    if (begin_ < end_)
    {
        return true;
    }
    std::vector<pollfd> waits{{socket_.value(), POLLIN, 0}};
    for (int const fd : interrupts)
    {
        waits.push_back({fd, POLLIN, 0});
    }
    return poll_until(waits, socket_now() + patience)
           && waits.front().revents != 0 && fill() > 0;
}

void http_socket::set_budget(std::size_t bytes, int status)
{
    budget_ = bytes;
    budget_status_ = status;
}

ssize_t http_socket::read(std::span<char> out)
{
    if (begin_ == end_)
    {
        if (!wait(POLLIN))
        {
            throw http_refusal(408, "the request did not arrive in time");
        }
        if (auto const size = fill(); size <= 0)
        {
            return size;
        }
    }
    auto const size = std::min(out.size(), end_ - begin_);
    if (size > budget_)
    {
        throw http_refusal(budget_status_, "the request is too large");
    }
    budget_ -= size;
    std::memcpy(out.data(), buffer_.data() + begin_, size);
    begin_ += size;
    return static_cast<ssize_t>(size);
}

ssize_t http_socket::write(std::string_view bytes)
{
    for (;;)
    {
        auto const size =
            send(socket_.value(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (size >= 0 || errno != EAGAIN || !wait(POLLOUT))
        {
            return size;
        }
    }
}

bool http_socket::wait_writable() { return wait(POLLOUT); }

void http_socket::linger()
{
    shutdown(socket_.value(), SHUT_WR);
    set_deadline(socket_now() + linger_time);
    std::size_t discarded = 0;
    while (discarded < linger_bytes && wait(POLLIN))
    {
        auto const size = fill();
        if (size <= 0)
        {
            return;
        }
        discarded += static_cast<std::size_t>(size);
    }
}

bool http_socket::wait(short events)
{
    std::array waits{pollfd{socket_.value(), events, 0}};
    auto const patience = events == POLLIN ? read_patience_ : write_patience_;
    return poll_until(waits, std::min(deadline_, socket_now() + patience));
}

/// Receives what there is, and replaces the buffer with it.
ssize_t http_socket::fill()
{
    auto const size = recv(socket_.value(), buffer_.data(), buffer_.size(), 0);
    begin_ = 0;
    end_ = size > 0 ? static_cast<std::size_t>(size) : 0;
    return size;
}

} // namespace jaydrift::net
