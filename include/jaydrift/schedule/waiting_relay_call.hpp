#ifndef JAYDRIFT_SCHEDULE_WAITING_RELAY_CALL_HPP
#define JAYDRIFT_SCHEDULE_WAITING_RELAY_CALL_HPP

#include <jaydrift/core/time_ms.hpp>

#include <cstdint>

namespace jaydrift::schedule {

/// A call of another daemon for the operators' area that waits for a change.
struct waiting_relay_call
{
    time_ms arrived_at;

    /// Revision of the view that the other daemon has.
    std::uint64_t after = 0;

    /// Time of the answer if there is no change.
    time_ms due_at;
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_WAITING_RELAY_CALL_HPP
