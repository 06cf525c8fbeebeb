#ifndef JAYDRIFT_CORE_SET_ZONE_HPP
#define JAYDRIFT_CORE_SET_ZONE_HPP

#include <string>

namespace jaydrift {

/// Opens or closes an availability zone, as a new policy version.
struct set_zone
{
    std::string zone;
    bool open = true;
    /// Unique per command, so that a repeat is applied once.
    std::string token;
};

} // namespace jaydrift

#endif // JAYDRIFT_CORE_SET_ZONE_HPP
