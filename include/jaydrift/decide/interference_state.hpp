#ifndef JAYDRIFT_DECIDE_INTERFERENCE_STATE_HPP
#define JAYDRIFT_DECIDE_INTERFERENCE_STATE_HPP

#include <cstdint>
#include <string>

namespace jaydrift::decide {

/// How far the steps against interference on a worker have got. When urgent
/// work there is slow, one batch task is throttled, then checkpointed, then
/// evicted; when it is fast again, throttled tasks are released.
struct interference_state
{
    /// A mitigation is one step against a task. The steps are taken in this
    /// order.
    enum class mitigation : std::uint8_t
    {
        throttle,
        checkpoint,
        evict
    };

    /// Generation of the last usage report that was handled.
    std::uint64_t generation = 0;

    /// Reports in a row in which urgent work was slow.
    std::uint32_t slow_reports = 0;

    /// Reports in a row in which no urgent work was slow.
    std::uint32_t fast_reports = 0;

    /// ID of the task that the next step acts on; empty if none is chosen.
    std::string victim;
    mitigation next_step = mitigation::throttle;
};

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_INTERFERENCE_STATE_HPP
