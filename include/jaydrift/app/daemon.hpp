#ifndef JAYDRIFT_APP_DAEMON_HPP
#define JAYDRIFT_APP_DAEMON_HPP

#include <cstdint>
#include <memory>

namespace jaydrift::app {

struct daemon_options;

/// A daemon process: its servers for callers, peers and operators, its RPC
/// clients and its control loop.
class daemon
{
public:
    /// Binds the HTTP, peer and operator addresses. Calls are queued until
    /// `run`.
    ///
    /// @throws net::net_error if an address cannot be bound.
    explicit daemon(daemon_options options);
    daemon(daemon const&) = delete;
    daemon& operator=(daemon const&) = delete;

    /// Answers the calls that are still open and stops the servers, if `run`
    /// has not done so.
    ~daemon();

    std::uint16_t http_port() const;
    std::uint16_t peer_port() const;
    std::uint16_t operator_port() const;

    /// Runs the control loop on the calling thread until a planned stop is
    /// complete and every answer has been written. Must be called at most once.
    void run();

    /// Begins a planned stop. Safe on any thread.
    void request_stop();

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace jaydrift::app

#endif // JAYDRIFT_APP_DAEMON_HPP
