#ifndef JAYDRIFT_CORE_POLICY_DOCUMENT_HPP
#define JAYDRIFT_CORE_POLICY_DOCUMENT_HPP

#include <jaydrift/core/class_share.hpp>
#include <jaydrift/core/kind_policy.hpp>
#include <jaydrift/core/team_quota.hpp>
#include <jaydrift/core/zone_policy.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace jaydrift {

/// The operators' policy.
struct policy_document
{
    std::uint64_t version = 0;

    /// Why the operator made this version.
    std::string comment;
    std::vector<zone_policy> zones;
    std::vector<kind_policy> kinds;
    std::vector<class_share> shares;
    std::vector<team_quota> quotas;
};

} // namespace jaydrift

#endif // JAYDRIFT_CORE_POLICY_DOCUMENT_HPP
