#ifndef JAYDRIFT_APP_DAEMON_OPTIONS_HPP
#define JAYDRIFT_APP_DAEMON_OPTIONS_HPP

#include <cstdint>
#include <string>
#include <vector>

#include <jaydrift/core/log_level.hpp>
#include <jaydrift/decide/daemon_settings.hpp>
#include <jaydrift/process/region_zones.hpp>

namespace jaydrift::process {
class settings_reader;
} // namespace jaydrift::process

namespace jaydrift::app {

/// Settings of jaydriftd, given as flags or environment variables.
struct daemon_options
{
    /// Settings of the reducer. `copy_zones` sets its regions and zones.
    decide::daemon_settings reducer_settings;
    /// Every region of the deployment with its availability zones.
    std::vector<process::region_zones> zones;
    /// Addresses of the interfaces for callers, other daemons and operators,
    /// `ip:port`.
    std::string listen_http = "127.0.0.1:7480";
    std::string listen_peer = "127.0.0.1:7470";
    std::string listen_operator = "127.0.0.1:7440";
    /// Address that other daemons connect to. If it is empty, they use the
    /// address on which the peer interface listens.
    std::string advertise_peer;
    /// Address of the platform's store.
    std::string store_address;
    /// Number of events that may wait for the control thread.
    std::uint32_t queue_capacity = 4096;
    /// Number of calls of each kind that may wait for an answer.
    std::uint32_t max_open_calls = 4096;
    /// Number of HTTP clients that are served at the same time.
    std::uint32_t http_threads = 64;
    /// Number of events that the timeline keeps.
    std::uint32_t timeline_events = 10000;
    /// Lowest level of the lines that are logged.
    log_level level = log_level::info;
};

/// Adds every setting of jaydriftd to `settings`. `options` holds the defaults,
/// receives the values and must outlive `settings`.
void describe_settings(process::settings_reader& settings,
                       daemon_options& options);

/// Copies the regions and zones from `options.zones` to
/// `options.reducer_settings`. Call it after the settings are read.
void copy_zones(daemon_options& options);

} // namespace jaydrift::app

#endif // JAYDRIFT_APP_DAEMON_OPTIONS_HPP
