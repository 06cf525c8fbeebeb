#ifndef JAYDRIFT_APP_WORKER_PROCESS_HPP
#define JAYDRIFT_APP_WORKER_PROCESS_HPP

#include <cstdint>
#include <memory>

namespace jaydrift::app {

struct worker_options;

/// The stand-in of a worker as a process. Serves daemons over RPC and the fault
/// controls over HTTP, and passes urgent requests to its backend server over
/// HTTP.
class worker_process
{
public:
    /// Binds the RPC and HTTP addresses. Calls are queued until `run`.
    ///
    /// @throws net::net_error if an address cannot be bound.
    explicit worker_process(worker_options options);
    worker_process(worker_process const&) = delete;
    worker_process& operator=(worker_process const&) = delete;
    ~worker_process();

    std::uint16_t rpc_port() const;
    std::uint16_t http_port() const;

    /// Registers the worker in the VM list, if its address is set, and runs the
    /// control loop on the calling thread until a requested stop is complete.
    /// Must be called at most once.
    ///
    /// @throws std::runtime_error if the VM list does not accept the worker.
    void run();

    /// Begins a planned stop: new tasks are refused, and `run` returns once no
    /// urgent request is running. Safe on any thread.
    void request_stop();

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace jaydrift::app

#endif // JAYDRIFT_APP_WORKER_PROCESS_HPP
