#ifndef JAYDRIFT_APP_BACKEND_PROCESS_HPP
#define JAYDRIFT_APP_BACKEND_PROCESS_HPP

#include <cstdint>
#include <memory>

namespace jaydrift::app {

struct backend_options;

/// The stand-in of a backend server as a process. Serves the executions of
/// urgent requests and the fault controls over HTTP.
class backend_process
{
public:
    /// Binds the HTTP address. Calls are queued until `run`.
    ///
    /// @throws net::net_error if the address cannot be bound.
    explicit backend_process(backend_options options);
    backend_process(backend_process const&) = delete;
    backend_process& operator=(backend_process const&) = delete;
    ~backend_process();

    std::uint16_t http_port() const;

    /// Runs the control loop on the calling thread until a requested stop is
    /// complete. Must be called at most once.
    void run();

    /// Begins a planned stop: new executions are refused, and `run` returns
    /// once the running ones have ended. Safe on any thread.
    void request_stop();

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace jaydrift::app

#endif // JAYDRIFT_APP_BACKEND_PROCESS_HPP
