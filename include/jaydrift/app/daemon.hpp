#ifndef JAYDRIFT_APP_DAEMON_HPP
#define JAYDRIFT_APP_DAEMON_HPP

#include <cstdint>
#include <memory>

namespace jaydrift::app {

struct daemon_options;

/// A running daemon: its front ends, its RPC clients and its control loop.
class daemon
{
public:
    /// Binds every address. Calls are queued until `run`.
    ///
    /// @throws net::net_error if an address cannot be bound.
    explicit daemon(daemon_options options);
    daemon(daemon const&) = delete;
    daemon& operator=(daemon const&) = delete;
    ~daemon();

    std::uint16_t http_port() const;
    std::uint16_t peer_port() const;
    std::uint16_t operator_port() const;

    /// Makes the calling thread the control thread until a planned stop is
    /// complete and every answer has been written. Called once.
    void run();

    /// Begins a planned stop, on any thread.
    void request_stop();

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace jaydrift::app

#endif // JAYDRIFT_APP_DAEMON_HPP
