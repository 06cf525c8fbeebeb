#ifndef JAYDRIFT_APP_BACKEND_OPTIONS_HPP
#define JAYDRIFT_APP_BACKEND_OPTIONS_HPP

#include <jaydrift/core/log_level.hpp>
#include <jaydrift/standin/backend_settings.hpp>

#include <cstdint>
#include <string>

namespace jaydrift::process {
class settings_reader;
} // namespace jaydrift::process

namespace jaydrift::app {

/// Settings of jaydrift-backend, a stand-in for a backend server, given as
/// flags or environment variables.
struct backend_options
{
    /// Name of the backend server.
    std::string name;
    standin::backend_settings reducer_settings;
    std::uint64_t random_seed = 1;
    /// Address of the HTTP interface, `ip:port`; port 0 lets the kernel choose.
    std::string listen_http = "127.0.0.1:0";
    /// Number of HTTP clients that are served at the same time.
    std::uint32_t http_threads = 32;
    /// Number of events that the timeline keeps.
    std::uint32_t timeline_events = 2000;
    /// Lowest level of the lines that are logged.
    log_level level = log_level::info;
};

/// Adds every setting of jaydrift-backend to `settings`. `options` holds the
/// defaults, receives the values and must outlive `settings`.
void describe_settings(process::settings_reader& settings,
                       backend_options& options);

} // namespace jaydrift::app

#endif // JAYDRIFT_APP_BACKEND_OPTIONS_HPP
