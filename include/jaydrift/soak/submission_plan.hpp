#ifndef JAYDRIFT_SOAK_SUBMISSION_PLAN_HPP
#define JAYDRIFT_SOAK_SUBMISSION_PLAN_HPP

#include <jaydrift/core/resources.hpp>
#include <jaydrift/core/time_ms.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace jaydrift::soak {

/// A step of a submission as its caller planned it.
struct step_plan
{
    /// Number of tasks.
    std::uint32_t count = 1;
    resources demand;
    time_ms run_time;

    /// Numbers of the steps that must be done before this one starts.
    std::vector<std::uint32_t> after;
    bool long_running = false;

    /// Gets the processors that the other tasks of its worker leave unused.
    bool opportunistic = false;
    std::string image;

    /// Label of the workers that may run the tasks; empty if all may.
    std::string required_label;

    /// Bound on the tail latency of a long-running task; 0 if it has none.
    time_ms latency_target;
};

/// A submission as its caller planned it.
struct submission_plan
{
    std::string payload;
    std::vector<step_plan> steps;
};

} // namespace jaydrift::soak

#endif // JAYDRIFT_SOAK_SUBMISSION_PLAN_HPP
