#ifndef JAYDRIFT_DECIDE_POLICY_STATE_HPP
#define JAYDRIFT_DECIDE_POLICY_STATE_HPP

namespace jaydrift::decide {

/// State of the policy module.
struct policy_state
{
};

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_POLICY_STATE_HPP
