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
    /// Run time saved by the last checkpoint.
    std::int64_t checkpoint_ms = 0;
    /// Work done, in microseconds of run time on an idle VM.
    std::int64_t done_us = 0;
    /// The task runs at half speed and uses half the processor time.
    bool throttled = false;
    /// Answer of the executor to an urgent request, while it is kept.
    std::string answer;
    time_ms ended_at;
    /// An owner has made the end of the task durable.
    bool acknowledged = false;
    /// Number of the start call that is answered when the run ends or the
    /// executor refuses it.
    std::optional<std::uint64_t> waiting_call;
};

} // namespace jaydrift::standin

#endif // JAYDRIFT_STANDIN_TASK_RUN_HPP
