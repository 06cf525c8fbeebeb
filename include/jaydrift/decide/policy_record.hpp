#ifndef JAYDRIFT_DECIDE_POLICY_RECORD_HPP
#define JAYDRIFT_DECIDE_POLICY_RECORD_HPP

#include <jaydrift/core/policy_document.hpp>
#include <jaydrift/decide/applied_token.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jaydrift::decide {

/// Value of the store's key `policy/current`.
struct policy_record
{
    policy_document current;

    /// Policy before the last change, for undo.
    std::optional<policy_document> previous;

    /// Operator requests that created the latest versions, newest last.
    std::vector<applied_token> tokens;
};

/// Returns the record as the value of the store's key.
std::string encode(policy_record const& record);

/// Returns the record that `encode` wrote.
///
/// @throws record_error if the value is malformed.
policy_record decode_policy_record(std::string_view value);

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_POLICY_RECORD_HPP
