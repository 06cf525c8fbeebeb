#ifndef JAYDRIFT_STANDIN_STORE_FAULT_HPP
#define JAYDRIFT_STANDIN_STORE_FAULT_HPP

#include <cstdint>

namespace jaydrift::standin {

/// Faults of the store that tests can set.
enum class store_fault : std::uint8_t
{
    /// Value not 0: every call is dropped and has no effect.
    outage,
    /// Delay of every answer in milliseconds.
    slowness,
    /// Number of the next successful puts and erases whose answers are lost.
    lose_answers
};

} // namespace jaydrift::standin

#endif // JAYDRIFT_STANDIN_STORE_FAULT_HPP
