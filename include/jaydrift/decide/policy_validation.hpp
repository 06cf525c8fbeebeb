#ifndef JAYDRIFT_DECIDE_POLICY_VALIDATION_HPP
#define JAYDRIFT_DECIDE_POLICY_VALIDATION_HPP

#include <jaydrift/core/policy_document.hpp>
#include <jaydrift/core/zone_location.hpp>

#include <span>
#include <string>

namespace jaydrift::decide {

/// Returns the first error of a policy, beginning with the path of the field,
/// or an empty string if the policy is valid.
std::string policy_error(policy_document const& policy,
                         std::span<zone_location const> zones);

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_POLICY_VALIDATION_HPP
