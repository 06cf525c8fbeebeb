#ifndef JAYDRIFT_PROCESS_LOG_HPP
#define JAYDRIFT_PROCESS_LOG_HPP

#include <cstdint>
#include <string_view>

#include <jaydrift/core/log_level.hpp>

namespace jaydrift::process {

/// Stream that log lines are written to.
enum class log_target : std::uint8_t
{
    /// A line may block the thread that writes it.
    standard_error,

    /// Never blocks: lines that the stream does not take at once are dropped
    /// and counted.
    standard_output
};

/// Configures the log of the process: lines of `min_level` and above are
/// written to the target. Call it before the first line.
void start_log(log_level min_level,
               log_target target = log_target::standard_error);

/// Writes a line such as `2026-12-04 10:00:00.125 INFO  [ownership] text`,
/// where `part` names the part of the program that reports. Safe on any thread.
void log_line(log_level level, std::string_view part, std::string_view text);

} // namespace jaydrift::process

#endif // JAYDRIFT_PROCESS_LOG_HPP
