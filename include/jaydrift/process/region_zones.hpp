#ifndef JAYDRIFT_PROCESS_REGION_ZONES_HPP
#define JAYDRIFT_PROCESS_REGION_ZONES_HPP

#include <string>
#include <vector>

namespace jaydrift::process {

/// A region and its availability zones.
struct region_zones
{
    std::string region;
    std::vector<std::string> zones;
};

} // namespace jaydrift::process

#endif // JAYDRIFT_PROCESS_REGION_ZONES_HPP
