#ifndef JAYDRIFT_DECIDE_TASK_PHASE_HPP
#define JAYDRIFT_DECIDE_TASK_PHASE_HPP

#include <cstdint>

namespace jaydrift::decide {

/// Where a task of a batch job is.
enum class task_phase : std::uint8_t
{
    /// May be started.
    waiting,
    /// Not known to run after a takeover, but some worker may still run it.
    unresolved,
    /// Waits for a while after a failed attempt.
    delayed,
    /// A start was sent and not answered yet.
    starting,
    running,
    /// The answer of a start was lost, or the worker did not list the task, so
    /// it may or may not run.
    uncertain,
    /// Ended on its worker; the record of it is not durable yet.
    recording,
    done
};

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_TASK_PHASE_HPP
