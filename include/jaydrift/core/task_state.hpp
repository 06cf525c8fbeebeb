#ifndef JAYDRIFT_CORE_TASK_STATE_HPP
#define JAYDRIFT_CORE_TASK_STATE_HPP

#include <cstdint>

namespace jaydrift {

/// State of a task on a worker.
enum class task_state : std::uint8_t
{
    running,
    finished,
    failed,
    evicted,
    lease_lapsed
};

} // namespace jaydrift

#endif // JAYDRIFT_CORE_TASK_STATE_HPP
