#ifndef JAYDRIFT_CORE_TASK_STATE_HPP
#define JAYDRIFT_CORE_TASK_STATE_HPP

#include <cstdint>

namespace jaydrift {

/// State of a task on a worker, as jaydriftd's workers report it;
/// `schedule::task_state` belongs to jaydrift-scheduler.
enum class task_state : std::uint8_t
{
    running,
    finished,

    /// Also after a cancellation.
    failed,

    /// Ended by its owner; it waits for another start.
    evicted,

    /// Ended by the worker when the shard's lease expired there; it waits for
    /// another start.
    lease_lapsed
};

} // namespace jaydrift

#endif // JAYDRIFT_CORE_TASK_STATE_HPP
