#ifndef JAYDRIFT_STANDIN_TIMER_DUE_HPP
#define JAYDRIFT_STANDIN_TIMER_DUE_HPP

namespace jaydrift::standin {

/// Event: the reducer's next timer is due.
struct timer_due
{
};

} // namespace jaydrift::standin

#endif // JAYDRIFT_STANDIN_TIMER_DUE_HPP
