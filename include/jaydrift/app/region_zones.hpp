#ifndef JAYDRIFT_APP_REGION_ZONES_HPP
#define JAYDRIFT_APP_REGION_ZONES_HPP

#include <string>
#include <vector>

namespace jaydrift::app {

/// A region and its availability zones.
struct region_zones
{
    std::string region;
    std::vector<std::string> zones;
};

} // namespace jaydrift::app

#endif // JAYDRIFT_APP_REGION_ZONES_HPP
