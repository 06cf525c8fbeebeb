#ifndef JAYDRIFT_CORE_TASK_SPEC_HPP
#define JAYDRIFT_CORE_TASK_SPEC_HPP

#include <jaydrift/core/resources.hpp>
#include <jaydrift/core/task_class.hpp>

#include <cstdint>
#include <string>

namespace jaydrift {

/// What a worker needs to know to run a task.
struct task_spec
{
    std::string id;
    std::string kind;
    std::string team;
    task_class priority = task_class::batch;
    resources demand;

    /// Declared run time; the worker stand-in runs a batch task this long.
    std::int64_t run_time_ms = 0;

    /// Work done before the last checkpoint, in milliseconds of run time.
    std::int64_t checkpoint_ms = 0;
};

} // namespace jaydrift

#endif // JAYDRIFT_CORE_TASK_SPEC_HPP
