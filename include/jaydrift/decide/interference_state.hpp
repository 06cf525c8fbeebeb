#ifndef JAYDRIFT_DECIDE_INTERFERENCE_STATE_HPP
#define JAYDRIFT_DECIDE_INTERFERENCE_STATE_HPP

#include <cstdint>
#include <string>

namespace jaydrift::decide {

/// State of the interference ladder of a worker.
struct interference_state
{
    /// Steps against a task, in order.
    enum class rung : std::uint8_t
    {
        throttle,
        checkpoint,
        evict
    };

    std::uint64_t generation = 0;
    std::uint32_t high = 0;
    std::uint32_t low = 0;
    /// Task that the next step acts on; empty if none was chosen.
    std::string victim;
    rung next = rung::throttle;
};

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_INTERFERENCE_STATE_HPP
