#ifndef JAYDRIFT_PROCESS_RATE_LIMITED_LOG_HPP
#define JAYDRIFT_PROCESS_RATE_LIMITED_LOG_HPP

#include <jaydrift/core/log_level.hpp>
#include <jaydrift/core/log_subject.hpp>
#include <jaydrift/core/time_ms.hpp>

#include <cstdint>
#include <string_view>

namespace jaydrift::process {

/// Limits the number of log lines per second. Each subject has a limit for
/// warnings and errors and one for other lines, so that lines about work cannot
/// crowd out lines about state, nor any lines warnings. Dropped lines are
/// counted, and the first line of a later second reports their number.
///
/// Not safe for use by several threads at once.
class rate_limited_log
{
public:
    /// Writes the line with `log_line`, or drops it if too many of its kind
    /// were written in this second.
    void write(time_ms now, log_level level, log_subject subject,
               std::string_view part, std::string_view text);

private:
    /// Counts of the lines about one subject since `second_start_`.
    struct line_counts
    {
        /// Written lines below warning.
        std::uint32_t others = 0;
        /// Written warnings and errors.
        std::uint32_t warnings = 0;
        std::uint32_t dropped = 0;
    };

    void report_dropped() const;

    time_ms second_start_;
    line_counts state_;
    line_counts work_;
};

} // namespace jaydrift::process

#endif // JAYDRIFT_PROCESS_RATE_LIMITED_LOG_HPP
