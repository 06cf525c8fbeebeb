#ifndef JAYDRIFT_DECIDE_POLICY_VALIDATION_HPP
#define JAYDRIFT_DECIDE_POLICY_VALIDATION_HPP

#include <jaydrift/core/policy_document.hpp>
#include <jaydrift/core/zone_location.hpp>

#include <span>
#include <string>

namespace jaydrift::decide {

/// Returns what is wrong with a policy, with the path of the field, or an empty
/// text if nothing is.
std::string policy_mistake(policy_document const& policy,
                           std::span<zone_location const> zones);

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_POLICY_VALIDATION_HPP
