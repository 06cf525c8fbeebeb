#ifndef JAYDRIFT_CORE_USAGE_REPORT_HPP
#define JAYDRIFT_CORE_USAGE_REPORT_HPP

#include <jaydrift/core/task_usage.hpp>
#include <jaydrift/core/time_ms.hpp>

#include <cstdint>
#include <vector>

namespace jaydrift {

/// Measured usage of a worker's tasks. It is reported some time after the
/// measurement.
struct usage_report
{
    /// Counts the measurements of the worker's process; 0 if there is none to
    /// report.
    std::uint64_t generation = 0;
    /// On the worker's clock.
    time_ms measured_at;
    std::vector<task_usage> tasks;
};

} // namespace jaydrift

#endif // JAYDRIFT_CORE_USAGE_REPORT_HPP
