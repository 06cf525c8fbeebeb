#ifndef JAYDRIFT_SCHEDULE_LOG_LINE_HPP
#define JAYDRIFT_SCHEDULE_LOG_LINE_HPP

#include <jaydrift/core/log_level.hpp>
#include <jaydrift/core/log_subject.hpp>

#include <string>

namespace jaydrift::schedule {

/// Effect: writes a log line.
struct log_line
{
    log_level level = log_level::info;
    log_subject subject = log_subject::state;

    /// Prefix of the line: the part of the daemon, such as `ownership`.
    std::string part;
    std::string text;
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_LOG_LINE_HPP
