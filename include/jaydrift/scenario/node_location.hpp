#ifndef JAYDRIFT_SCENARIO_NODE_LOCATION_HPP
#define JAYDRIFT_SCENARIO_NODE_LOCATION_HPP

#include <string>

namespace jaydrift::scenario {

/// Region and availability zone of a node of the simulated network.
struct node_location
{
    std::string region;
    std::string zone;
};

} // namespace jaydrift::scenario

#endif // JAYDRIFT_SCENARIO_NODE_LOCATION_HPP
