#ifndef JAYDRIFT_CORE_TEAM_QUOTA_HPP
#define JAYDRIFT_CORE_TEAM_QUOTA_HPP

#include <cstdint>
#include <string>

namespace jaydrift {

/// Largest amount of processors that a team's batch tasks may hold in the whole
/// deployment. Each shard enforces an equal part of it, but may always run one
/// task that fits the quota.
struct team_quota
{
    std::string team;
    std::int64_t millicores = 0;
};

} // namespace jaydrift

#endif // JAYDRIFT_CORE_TEAM_QUOTA_HPP
