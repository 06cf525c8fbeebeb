#ifndef JAYDRIFT_DECIDE_TIMER_DUE_HPP
#define JAYDRIFT_DECIDE_TIMER_DUE_HPP

namespace jaydrift::decide {

/// Time has passed; sent when the reducer's next timer is due.
struct timer_due
{
};

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_TIMER_DUE_HPP
