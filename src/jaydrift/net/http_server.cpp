#include <jaydrift/net/http_server.hpp>

#include "connection_queue.hpp"
#include "http_acceptor.hpp"
#include "http_check.hpp"
#include "http_protocol.hpp"
#include "http_socket.hpp"
#include "wake_event.hpp"

#include <sys/socket.h>

#include <atomic>
#include <mutex>
#include <thread>
#include <utility>
#include <vector>

namespace jaydrift::net {

namespace {

/// Connections that may wait for a thread, for each thread of the pool.
constexpr std::size_t max_waiting_per_thread = 4;

/// Longest wait for the next request on an open connection.
constexpr time_ms idle_timeout{5000};

/// Responds with status 503, because no thread is free for the connection.
void refuse_connection(unique_fd const& connection)
{
    auto const response = format_refusal(503, "not_run: too many connections");
    // The send buffer of a new connection has room for the whole response.
    send(connection.value(), response.data(), response.size(), MSG_NOSIGNAL);
    shutdown(connection.value(), SHUT_WR);
}

} // namespace

class http_server::impl
{
public:
    impl(http_settings const& settings, handler handle_request,
         std::function<bool()> keep_open)
        : settings_(settings), keep_open_(std::move(keep_open)),
          protocol_(settings, std::move(handle_request)),
          queue_(settings.threads * max_waiting_per_thread),
          acceptor_(settings.address, [this](unique_fd connection) {
              if (!queue_.try_push(connection))
              {
                  refuse_connection(connection);
              }
          })
    {
        for (std::size_t i = 0; i < settings.threads; ++i)
        {
            threads_.emplace_back([this] { serve_connections(); });
        }
    }

    ~impl() { stop(); }

    std::uint16_t port() const { return acceptor_.port(); }

    void stop_accepting()
    {
        std::lock_guard const lock(stop_mutex_);
        accepting_stopped_ = true;
        acceptor_.stop();
    }

    void stop()
    {
        stop_accepting();
        std::lock_guard const lock(stop_mutex_);
        stop_event_.set();
        queue_.close();
        for (auto& thread : threads_)
        {
            thread.join();
        }
        threads_.clear();
    }

private:
    /// Serves connections of the queue until the queue is closed and empty.
    void serve_connections()
    {
        for (;;)
        {
            auto connection = queue_.pop();
            if (!connection.valid())
            {
                return;
            }
            serve(std::move(connection));
        }
    }

    /// Serves requests until the connection ends. An idle connection is closed
    /// on stop, and when other connections wait for a thread.
    void serve(unique_fd connection)
    {
        http_socket socket(std::move(connection), settings_.read_timeout,
                           settings_.write_timeout);
        bool open =
            socket.wait_for_request(settings_.read_timeout, {stop_event_.fd()});
        while (open)
        {
            open = protocol_.serve(socket, closes_after_next_response())
                   && socket.wait_for_request(
                       idle_timeout, {stop_event_.fd(), queue_.backlog_fd()});
        }
    }

    /// Tells whether a connection closes after its next response.
    bool closes_after_next_response() const
    {
        return accepting_stopped_ || (keep_open_ && !keep_open_());
    }

    http_settings const settings_;
    std::function<bool()> const keep_open_;
    http_protocol const protocol_;
    connection_queue queue_;
    wake_event stop_event_;
    std::atomic<bool> accepting_stopped_ = false;
    std::mutex stop_mutex_;
    std::vector<std::thread> threads_;
    // Constructed last and destroyed first, because its thread uses the queue.
    http_acceptor acceptor_;
};

http_server::http_server(http_settings const& settings, handler handle_request,
                         std::function<bool()> keep_open)
    : impl_(std::make_unique<impl>(settings, std::move(handle_request),
                                   std::move(keep_open)))
{
}

http_server::~http_server() = default;

std::uint16_t http_server::port() const { return impl_->port(); }

void http_server::stop_accepting() { impl_->stop_accepting(); }

void http_server::stop() { impl_->stop(); }

} // namespace jaydrift::net
