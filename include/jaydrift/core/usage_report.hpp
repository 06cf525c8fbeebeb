#ifndef JAYDRIFT_CORE_USAGE_REPORT_HPP
#define JAYDRIFT_CORE_USAGE_REPORT_HPP

#include <jaydrift/core/task_usage.hpp>
#include <jaydrift/core/time_ms.hpp>

#include <cstdint>
#include <vector>

namespace jaydrift {

/// Lagging measurement of a worker; the generation grows with each report.
struct usage_report
{
    std::uint64_t generation = 0;
    time_ms measured_at;
    std::vector<task_usage> tasks;
};

} // namespace jaydrift

#endif // JAYDRIFT_CORE_USAGE_REPORT_HPP
