#ifndef JAYDRIFT_CORE_TASK_ACTION_HPP
#define JAYDRIFT_CORE_TASK_ACTION_HPP

#include <cstdint>

namespace jaydrift {

/// What an owner can do to a running task.
enum class task_action : std::uint8_t
{
    throttle,
    unthrottle,
    checkpoint,
    evict,
    cancel
};

} // namespace jaydrift

#endif // JAYDRIFT_CORE_TASK_ACTION_HPP
