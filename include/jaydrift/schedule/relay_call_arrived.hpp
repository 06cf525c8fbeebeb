#ifndef JAYDRIFT_SCHEDULE_RELAY_CALL_ARRIVED_HPP
#define JAYDRIFT_SCHEDULE_RELAY_CALL_ARRIVED_HPP

#include <jaydrift/core/time_ms.hpp>

#include <cstdint>

namespace jaydrift::schedule {

/// Event: another daemon asks for the operators' area.
struct relay_call_arrived
{
    /// Number that `answer_relay_call` refers to.
    std::uint64_t call = 0;

    /// Revision of the view that the other daemon has; 0 if it has none.
    std::uint64_t after = 0;

    /// Time after which it wants an answer even without changes.
    time_ms wait;
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_RELAY_CALL_ARRIVED_HPP
