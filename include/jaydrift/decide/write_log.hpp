#ifndef JAYDRIFT_DECIDE_WRITE_LOG_HPP
#define JAYDRIFT_DECIDE_WRITE_LOG_HPP

#include <jaydrift/core/log_level.hpp>

#include <string>

namespace jaydrift::decide {

/// Writes a log line.
struct write_log
{
    log_level level = log_level::info;

    /// Prefix of the line: the module that writes it, such as "ownership".
    std::string part;
    std::string text;
};

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_WRITE_LOG_HPP
