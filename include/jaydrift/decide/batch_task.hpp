#ifndef JAYDRIFT_DECIDE_BATCH_TASK_HPP
#define JAYDRIFT_DECIDE_BATCH_TASK_HPP

#include <jaydrift/core/time_ms.hpp>
#include <jaydrift/decide/task_phase.hpp>

#include <cstdint>
#include <string>

namespace jaydrift::decide {

/// One task of a batch job, as the owner of its shard keeps it.
struct batch_task
{
    /// Number of the last known attempt to run the task; 0 before the first.
    std::uint32_t attempt = 0;

    /// Last attempt whose eviction or failure is durable; 0 if there is none.
    std::uint32_t ended_attempt = 0;

    /// Number of attempts that failed.
    std::uint32_t failures = 0;

    /// Run time that the last known checkpoint saves, in milliseconds.
    std::int64_t checkpoint_ms = 0;
    task_phase phase = task_phase::waiting;

    /// Worker that runs the task or may run it; empty if there is none.
    std::string worker;
    time_ms started_at;

    /// Time of the last start or checkpoint; an eviction loses the progress
    /// made since then.
    time_ms progress_saved_at;

    /// Deadline of the attempt's start, in the worker's clock. After it a start
    /// that was delayed on its way takes no effect.
    time_ms start_before;

    /// While uncertain: when to ask the worker again.
    time_ms probe_at;

    /// While uncertain: the worker said that it does not run the task, and a
    /// delayed start can no longer take effect.
    bool reported_absent = false;

    /// Renewal replies without the task since `reported_absent` was set.
    std::uint32_t replies_without_task = 0;

    /// An eviction was requested and has not been refused.
    bool evicting = false;

    /// The worker limits the task because it slowed urgent work.
    bool throttled = false;

    /// The reply to a control call has not arrived yet.
    bool control_in_flight = false;
};

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_BATCH_TASK_HPP
