#ifndef JAYDRIFT_DECIDE_TIMER_DUE_HPP
#define JAYDRIFT_DECIDE_TIMER_DUE_HPP

namespace jaydrift::decide {

/// The time that `next_timer` returned has come.
struct timer_due
{
};

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_TIMER_DUE_HPP
