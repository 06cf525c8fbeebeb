#ifndef JAYDRIFT_APP_STORE_OPTIONS_HPP
#define JAYDRIFT_APP_STORE_OPTIONS_HPP

#include <jaydrift/core/log_level.hpp>
#include <jaydrift/standin/store_settings.hpp>

#include <cstdint>
#include <string>

namespace jaydrift::process {
class settings_reader;
} // namespace jaydrift::process

namespace jaydrift::app {

/// Settings of jaydrift-store, a stand-in for the platform's store and VM list,
/// given as flags or environment variables.
struct store_options
{
    standin::store_settings reducer_settings;
    /// Addresses of the interfaces for daemons (RPC) and for HTTP clients,
    /// `ip:port`; port 0 lets the kernel choose.
    std::string listen = "127.0.0.1:0";
    std::string listen_http = "127.0.0.1:0";
    /// Number of events that the timeline keeps.
    std::uint32_t timeline_events = 10000;
    /// Whether leases may expire during an outage. If not, they are suspended
    /// and have their full time to live after it.
    bool outage_expires_leases = false;
    /// Lowest level of the lines that are logged.
    log_level level = log_level::info;
};

/// Adds every setting of jaydrift-store to `settings`. `options` holds the
/// defaults, receives the values and must outlive `settings`.
void describe_settings(process::settings_reader& settings,
                       store_options& options);

} // namespace jaydrift::app

#endif // JAYDRIFT_APP_STORE_OPTIONS_HPP
