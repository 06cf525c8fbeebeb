#ifndef JAYDRIFT_SCHEDULE_TIMER_DUE_HPP
#define JAYDRIFT_SCHEDULE_TIMER_DUE_HPP

#include <jaydrift/core/time_ms.hpp>

namespace jaydrift::schedule {

/// Event: the time that `next_timer` returned has come.
struct timer_due
{
    /// Wall clock time, for due times and for times in records.
    time_ms wall_time;

    /// Duration of the previous timer step, with its effects.
    time_ms previous_took{0};
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_TIMER_DUE_HPP
