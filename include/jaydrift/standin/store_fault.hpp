#ifndef JAYDRIFT_STANDIN_STORE_FAULT_HPP
#define JAYDRIFT_STANDIN_STORE_FAULT_HPP

#include <cstdint>

namespace jaydrift::standin {

/// Faults that a test can set on the store.
enum class store_fault : std::uint8_t
{
    /// If not 0, every call is dropped and has no effect.
    outage,
    /// Delay of every reply in milliseconds.
    slowness,
    /// Number of successful puts and erases, counted from now, whose replies
    /// are dropped.
    lose_answers
};

} // namespace jaydrift::standin

#endif // JAYDRIFT_STANDIN_STORE_FAULT_HPP
