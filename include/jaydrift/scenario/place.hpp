#ifndef JAYDRIFT_SCENARIO_PLACE_HPP
#define JAYDRIFT_SCENARIO_PLACE_HPP

#include <string>

namespace jaydrift::scenario {

/// Region and availability zone of a process.
struct place
{
    std::string region;
    std::string zone;
};

} // namespace jaydrift::scenario

#endif // JAYDRIFT_SCENARIO_PLACE_HPP
