#ifndef JAYDRIFT_CORE_JOB_SPEC_HPP
#define JAYDRIFT_CORE_JOB_SPEC_HPP

#include <jaydrift/core/resources.hpp>

#include <cstdint>
#include <string>

namespace jaydrift {

/// A batch job: a number of equal tasks.
struct job_spec
{
    std::string id;
    std::string kind;
    std::string team;
    std::string home_region;
    std::uint32_t task_count = 1;
    /// Of each task.
    resources demand;

    /// Declared run time of a task.
    std::int64_t run_time_ms = 0;
};

} // namespace jaydrift

#endif // JAYDRIFT_CORE_JOB_SPEC_HPP
