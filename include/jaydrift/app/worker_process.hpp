#ifndef JAYDRIFT_APP_WORKER_PROCESS_HPP
#define JAYDRIFT_APP_WORKER_PROCESS_HPP

#include <cstdint>
#include <memory>

namespace jaydrift::app {

struct worker_options;

/// A worker as a process: RPC for daemons, HTTP for fault controls, and HTTP
/// to its backend server.
class worker_process
{
public:
    /// Binds every address. Calls are queued until `run`.
    ///
    /// @throws net::net_error if an address cannot be bound.
    explicit worker_process(worker_options options);
    worker_process(worker_process const&) = delete;
    worker_process& operator=(worker_process const&) = delete;
    ~worker_process();

    std::uint16_t rpc_port() const;
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

#endif // JAYDRIFT_APP_WORKER_PROCESS_HPP
