#ifndef JAYDRIFT_STANDIN_TASK_RUN_HPP
#define JAYDRIFT_STANDIN_TASK_RUN_HPP

#include <jaydrift/core/shard_id.hpp>
#include <jaydrift/core/task_spec.hpp>
#include <jaydrift/core/task_state.hpp>
#include <jaydrift/core/time_ms.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace jaydrift::standin {

/// The latest run of a task on a worker.
struct task_run
{
    task_spec task;
    std::uint32_t attempt = 0;
    task_state state = task_state::running;
    shard_id shard;
    std::int64_t checkpoint_ms = 0;
    /// Work done, in microseconds of run time.
    std::int64_t done_us = 0;
    bool throttled = false;
    std::string answer;
    time_ms ended_at;
    bool acknowledged = false;
    /// Call that waits for the answer of an urgent request.
    std::optional<std::uint64_t> caller;
};

} // namespace jaydrift::standin

#endif // JAYDRIFT_STANDIN_TASK_RUN_HPP
