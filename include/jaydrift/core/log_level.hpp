#ifndef JAYDRIFT_CORE_LOG_LEVEL_HPP
#define JAYDRIFT_CORE_LOG_LEVEL_HPP

#include <cstdint>

namespace jaydrift {

/// Severity of a log line.
enum class log_level : std::uint8_t
{
    debug,
    info,
    warning,
    error
};

} // namespace jaydrift

#endif // JAYDRIFT_CORE_LOG_LEVEL_HPP
