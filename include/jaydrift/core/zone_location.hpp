#ifndef JAYDRIFT_CORE_ZONE_LOCATION_HPP
#define JAYDRIFT_CORE_ZONE_LOCATION_HPP

#include <string>

namespace jaydrift {

/// Region of an availability zone of the deployment.
struct zone_location
{
    std::string zone;
    std::string region;
};

} // namespace jaydrift

#endif // JAYDRIFT_CORE_ZONE_LOCATION_HPP
