#ifndef JAYDRIFT_APP_BACKEND_PROCESS_HPP
#define JAYDRIFT_APP_BACKEND_PROCESS_HPP

#include <cstdint>
#include <memory>

namespace jaydrift::app {

struct backend_options;

/// A backend server as a process: HTTP for executions and fault controls.
class backend_process
{
public:
    /// Binds every address. Calls are queued until `run`.
    ///
    /// @throws net::net_error if an address cannot be bound.
    explicit backend_process(backend_options options);
    backend_process(backend_process const&) = delete;
    backend_process& operator=(backend_process const&) = delete;
    ~backend_process();

    std::uint16_t http_port() const;

    /// Makes the calling thread the control thread until a stop is complete.
    /// Called once.
    void run();

    /// Begins a planned stop, on any thread.
    void request_stop();

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace jaydrift::app

#endif // JAYDRIFT_APP_BACKEND_PROCESS_HPP
