#ifndef JAYDRIFT_DECIDE_BATCH_TASK_HPP
#define JAYDRIFT_DECIDE_BATCH_TASK_HPP

#include <jaydrift/core/time_ms.hpp>
#include <jaydrift/decide/task_phase.hpp>

#include <cstdint>
#include <string>

namespace jaydrift::decide {

/// One task of a batch job.
struct batch_task
{
    /// Number of the last start that is known of.
    std::uint32_t attempt = 0;
    /// Last attempt whose eviction or failure is durable.
    std::uint32_t ended_attempt = 0;
    std::uint32_t failures = 0;
    std::int64_t checkpoint_ms = 0;
    task_phase phase = task_phase::waiting;
    /// Worker that runs the task or may run it; empty if there is none.
    std::string worker;
    time_ms started_at;
    /// Last time at which an eviction would have lost nothing.
    time_ms saved_at;
    /// Latest start of the attempt, in the worker's clock.
    time_ms start_before;
    /// While uncertain: when to ask the worker again.
    time_ms probe_at;
    /// While uncertain: the worker said that it does not run the task.
    bool absent = false;
    /// Renewal replies without the task since then.
    std::uint32_t absences = 0;
    bool evicting = false;
    bool throttled = false;
    bool asking = false;
};

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_BATCH_TASK_HPP
