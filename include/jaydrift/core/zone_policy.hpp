#ifndef JAYDRIFT_CORE_ZONE_POLICY_HPP
#define JAYDRIFT_CORE_ZONE_POLICY_HPP

#include <string>

namespace jaydrift {

/// Whether work may start in an availability zone.
struct zone_policy
{
    std::string name;
    std::string region;
    bool open = true;
};

} // namespace jaydrift

#endif // JAYDRIFT_CORE_ZONE_POLICY_HPP
