#ifndef JAYDRIFT_DECIDE_TASK_PHASE_HPP
#define JAYDRIFT_DECIDE_TASK_PHASE_HPP

#include <cstdint>

namespace jaydrift::decide {

/// What a task of a batch job does or waits for.
enum class task_phase : std::uint8_t
{
    /// May be started.
    waiting,

    /// Not known to run after a takeover, but some worker may still run it.
    unresolved,

    /// Waits for a while after a failed attempt.
    delayed,

    /// A start was sent, and no reply has arrived yet.
    starting,
    running,

    /// The reply to a start was lost, or the worker did not list the task, so
    /// it may or may not run.
    uncertain,

    /// Finished or failed on its worker; the record of that is not durable yet.
    recording,

    /// Durably finished, or stopped because its job is closed.
    done
};

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_TASK_PHASE_HPP
