#ifndef JAYDRIFT_SCHEDULE_STANDSTILL_HPP
#define JAYDRIFT_SCHEDULE_STANDSTILL_HPP

#include <jaydrift/core/time_ms.hpp>

namespace jaydrift::schedule {

/// A gap of the clock between two events that is too long for a process that
/// runs: it was suspended or stopped, and what it reads afterwards may have
/// arrived meanwhile.
struct standstill
{
    /// Time of the last event before the gap and of the first one after it.
    time_ms began_at;
    time_ms ended_at;
};

/// The timer of a daemon is due after 50 ms at the latest. A gap of this length
/// means that the process stood still.
inline constexpr time_ms shortest_standstill{500};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_STANDSTILL_HPP
