#ifndef JAYDRIFT_APP_STORE_PROCESS_HPP
#define JAYDRIFT_APP_STORE_PROCESS_HPP

#include <cstdint>
#include <memory>

namespace jaydrift::app {

struct store_options;

/// The platform's store and VM list as a process: RPC for daemons, HTTP for
/// fault controls.
class store_process
{
public:
    /// Binds every address. Calls are queued until `run`.
    ///
    /// @throws net::net_error if an address cannot be bound.
    explicit store_process(store_options options);
    store_process(store_process const&) = delete;
    store_process& operator=(store_process const&) = delete;
    ~store_process();

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

#endif // JAYDRIFT_APP_STORE_PROCESS_HPP
