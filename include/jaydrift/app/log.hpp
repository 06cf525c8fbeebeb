#ifndef JAYDRIFT_APP_LOG_HPP
#define JAYDRIFT_APP_LOG_HPP

#include <string_view>

#include <jaydrift/core/log_level.hpp>

namespace jaydrift::app {

/// Sends log lines of at least `least` to standard error, each with its time
/// in ms and its part as the prefix. Called once, before the first line.
void start_log(log_level least);

/// Writes a line such as `2026-12-04 10:00:00.125 INFO  [ownership] text`.
/// Safe on any thread.
void log_line(log_level level, std::string_view part, std::string_view text);

} // namespace jaydrift::app

#endif // JAYDRIFT_APP_LOG_HPP
