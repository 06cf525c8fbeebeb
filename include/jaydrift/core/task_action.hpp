#ifndef JAYDRIFT_CORE_TASK_ACTION_HPP
#define JAYDRIFT_CORE_TASK_ACTION_HPP

#include <cstdint>

namespace jaydrift {

/// What an owner can do to a running task.
enum class task_action : std::uint8_t
{
    /// Slows the task down until `unthrottle`.
    throttle,
    unthrottle,

    /// Saves a checkpoint; the task keeps running.
    checkpoint,

    /// Saves a checkpoint and ends the task, which waits for another start.
    evict,

    /// Ends the task without a checkpoint.
    cancel
};

} // namespace jaydrift

#endif // JAYDRIFT_CORE_TASK_ACTION_HPP
