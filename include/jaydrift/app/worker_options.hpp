#ifndef JAYDRIFT_APP_WORKER_OPTIONS_HPP
#define JAYDRIFT_APP_WORKER_OPTIONS_HPP

#include <jaydrift/core/log_level.hpp>
#include <jaydrift/core/time_ms.hpp>
#include <jaydrift/core/vm_info.hpp>
#include <jaydrift/standin/worker_settings.hpp>

#include <cstdint>
#include <string>

namespace jaydrift::process {
class settings_reader;
} // namespace jaydrift::process

namespace jaydrift::app {

/// Settings of jaydrift-worker, a stand-in for a worker of the platform, given
/// as flags or environment variables.
struct worker_options
{
    /// Entry of this worker in the VM list, without its address.
    vm_info vm{{}, {}, {}, {}, {}, {16'000, 60'000, 0}, vm_state::live};
    standin::worker_settings reducer_settings;
    /// Addresses of the interfaces for daemons (RPC) and for HTTP clients,
    /// `ip:port`; port 0 lets the kernel choose.
    std::string listen = "127.0.0.1:0";
    std::string listen_http = "127.0.0.1:0";
    /// HTTP address of the backend server that executes urgent requests.
    std::string backend_address;
    /// HTTP address of jaydrift-store, whose VM list the worker joins; empty to
    /// join none.
    std::string vm_list_address;
    /// Age of a usage measurement when it is reported.
    time_ms usage_lag{5'000};
    /// Time limit of one call to the backend server.
    time_ms executor_timeout{30'000};
    /// Number of calls to the backend server that may be open at the same time.
    std::uint32_t executor_threads = 8;
    /// Number of events that may wait for the control thread, and of calls that
    /// may wait for an answer.
    std::uint32_t queue_capacity = 4096;
    /// Number of events that the timeline keeps.
    std::uint32_t timeline_events = 2000;
    /// Lowest level of the lines that are logged.
    log_level level = log_level::info;
};

/// Adds every setting of jaydrift-worker to `settings`. `options` holds the
/// defaults, receives the values and must outlive `settings`.
void describe_settings(process::settings_reader& settings,
                       worker_options& options);

} // namespace jaydrift::app

#endif // JAYDRIFT_APP_WORKER_OPTIONS_HPP
