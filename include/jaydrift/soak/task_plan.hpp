#ifndef JAYDRIFT_SOAK_TASK_PLAN_HPP
#define JAYDRIFT_SOAK_TASK_PLAN_HPP

#include <jaydrift/core/resources.hpp>
#include <jaydrift/core/time_ms.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace jaydrift::soak {

/// A step as its caller has planned it.
struct step_plan
{
    std::uint32_t count = 1;
    resources demand;
    time_ms run_time;
    std::vector<std::uint32_t> after;
    bool long_running = false;
};

/// A submission as its caller has planned it.
struct task_plan
{
    std::string payload;
    std::vector<step_plan> steps;
};

} // namespace jaydrift::soak

#endif // JAYDRIFT_SOAK_TASK_PLAN_HPP
