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

/// Connections that may wait for a thread, as a multiple of the threads.
constexpr std::size_t waiting_per_thread = 4;

/// How long a connection may be idle between two requests.
constexpr time_ms idle_timeout{5000};

/// Tells a client that there is no thread for its connection.
void shed(unique_fd const& connection)
{
    auto const answer = format_refusal(503, "not_run: too many connections");
    // The buffer of a new connection takes the whole answer.
    send(connection.value(), answer.data(), answer.size(), MSG_NOSIGNAL);
    shutdown(connection.value(), SHUT_WR);
}

} // namespace

class http_server::impl
{
public:
    impl(http_settings const& settings, handler handle,
         std::function<bool()> keep_open)
        : settings_(settings), keep_open_(std::move(keep_open)),
          protocol_(settings, std::move(handle)),
          queue_(settings.threads * waiting_per_thread),
          acceptor_(settings.address, [this](unique_fd connection) {
              if (!queue_.try_push(connection))
              {
                  shed(connection);
              }
          })
    {
        for (std::size_t i = 0; i < settings.threads; ++i)
        {
            threads_.emplace_back([this] { run(); });
        }
    }

    ~impl() { stop(); }

    std::uint16_t port() const { return acceptor_.port(); }

    void stop_accepting()
    {
        std::lock_guard const lock(stopping_);
        closing_ = true;
        acceptor_.stop();
    }

    void stop()
    {
        stop_accepting();
        std::lock_guard const lock(stopping_);
        stop_.set();
        queue_.close();
        for (auto& thread : threads_)
        {
            thread.join();
        }
        threads_.clear();
    }

private:
    void run()
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

    void serve(unique_fd connection)
    {
        http_socket socket(std::move(connection), settings_.read_timeout,
                           settings_.write_timeout);
        bool open =
            socket.wait_for_request(settings_.read_timeout, {stop_.fd()});
        while (open)
        {
            open = protocol_.serve(socket, close_next())
                   && socket.wait_for_request(
                       idle_timeout, {stop_.fd(), queue_.pressure_fd()});
        }
    }

    /// Tells whether a connection ends after its next answer.
    bool close_next() const
    {
        return closing_ || (keep_open_ && !keep_open_());
    }

    http_settings const settings_;
    std::function<bool()> const keep_open_;
    http_protocol const protocol_;
    connection_queue queue_;
    wake_event stop_;
    std::atomic<bool> closing_ = false;
    std::mutex stopping_;
    std::vector<std::thread> threads_;
    // Started last and destroyed first, because it uses the queue.
    http_acceptor acceptor_;
};

http_server::http_server(http_settings const& settings, handler handle,
                         std::function<bool()> keep_open)
    : impl_(std::make_unique<impl>(settings, std::move(handle),
                                   std::move(keep_open)))
{
}

http_server::~http_server() = default;

std::uint16_t http_server::port() const { return impl_->port(); }

void http_server::stop_accepting() { impl_->stop_accepting(); }

void http_server::stop() { impl_->stop(); }

} // namespace jaydrift::net
