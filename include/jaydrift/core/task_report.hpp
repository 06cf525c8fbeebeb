#ifndef JAYDRIFT_CORE_TASK_REPORT_HPP
#define JAYDRIFT_CORE_TASK_REPORT_HPP

#include <jaydrift/core/shard_id.hpp>
#include <jaydrift/core/task_spec.hpp>
#include <jaydrift/core/task_state.hpp>

#include <cstdint>
#include <string>

namespace jaydrift {

/// A worker's report about one of its tasks.
struct task_report
{
    task_spec task;
    std::uint32_t attempt = 0;
    task_state state = task_state::running;

    /// Shard that the task is bound to.
    shard_id shard;

    /// Last checkpoint, in milliseconds of run time.
    std::int64_t checkpoint_ms = 0;

    /// Answer of a finished urgent request.
    std::string answer;
};

} // namespace jaydrift

#endif // JAYDRIFT_CORE_TASK_REPORT_HPP
