#ifndef JAYDRIFT_CORE_TASK_USAGE_HPP
#define JAYDRIFT_CORE_TASK_USAGE_HPP

#include <cstdint>
#include <string>

namespace jaydrift {

/// Measured usage of one task.
struct task_usage
{
    std::string task;
    std::string kind;
    std::int64_t millicores = 0;
    std::int64_t memory_mb = 0;

    /// Measured run time relative to an idle VM, in thousandths.
    std::int64_t slowdown_permille = 1000;
};

} // namespace jaydrift

#endif // JAYDRIFT_CORE_TASK_USAGE_HPP
