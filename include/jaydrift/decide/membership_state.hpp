#ifndef JAYDRIFT_DECIDE_MEMBERSHIP_STATE_HPP
#define JAYDRIFT_DECIDE_MEMBERSHIP_STATE_HPP

namespace jaydrift::decide {

/// State of the membership module.
struct membership_state
{
};

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_MEMBERSHIP_STATE_HPP
