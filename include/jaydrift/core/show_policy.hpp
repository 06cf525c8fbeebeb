#ifndef JAYDRIFT_CORE_SHOW_POLICY_HPP
#define JAYDRIFT_CORE_SHOW_POLICY_HPP

namespace jaydrift {

/// Asks for the current policy.
struct show_policy
{
};

} // namespace jaydrift

#endif // JAYDRIFT_CORE_SHOW_POLICY_HPP
