#ifndef JAYDRIFT_CORE_APPLY_POLICY_HPP
#define JAYDRIFT_CORE_APPLY_POLICY_HPP

#include <jaydrift/core/policy_document.hpp>

#include <cstdint>
#include <string>

namespace jaydrift {

/// Makes a document the next policy version.
struct apply_policy
{
    policy_document policy;

    /// Version that the operator saw. If another version is current, nothing
    /// changes and the status is `conflict`.
    std::uint64_t based_on = 0;

    /// Unique per command, so that a repeat is applied once.
    std::string token;
};

} // namespace jaydrift

#endif // JAYDRIFT_CORE_APPLY_POLICY_HPP
