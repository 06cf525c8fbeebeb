#ifndef JAYDRIFT_APP_STORE_PROCESS_HPP
#define JAYDRIFT_APP_STORE_PROCESS_HPP

#include <cstdint>
#include <memory>

namespace jaydrift::app {

struct store_options;

/// The stand-in of the platform's store and VM list as a process. Serves
/// daemons over RPC and the fault controls over HTTP.
class store_process
{
public:
    /// Binds the RPC and HTTP addresses. Calls are queued until `run`.
    ///
    /// @throws net::net_error if an address cannot be bound.
    explicit store_process(store_options options);
    store_process(store_process const&) = delete;
    store_process& operator=(store_process const&) = delete;
    ~store_process();

    std::uint16_t rpc_port() const;
    std::uint16_t http_port() const;

    /// Runs the control loop on the calling thread until a requested stop is
    /// complete. Must be called at most once.
    void run();

    /// Makes `run` return after the current event; queued calls are answered as
    /// overloaded. Safe on any thread.
    void request_stop();

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace jaydrift::app

#endif // JAYDRIFT_APP_STORE_PROCESS_HPP
