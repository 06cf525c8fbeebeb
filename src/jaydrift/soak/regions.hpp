#ifndef JAYDRIFT_SOAK_REGIONS_HPP
#define JAYDRIFT_SOAK_REGIONS_HPP

#include <cstddef>
#include <string_view>

namespace jaydrift::soak {

/// Returns whether a daemon is in another region than the store.
inline bool is_remote(std::size_t daemon) { return daemon % 2 == 1; }

inline std::string_view region_of(std::size_t daemon)
{
    return is_remote(daemon) ? "south" : "north";
}

} // namespace jaydrift::soak

#endif // JAYDRIFT_SOAK_REGIONS_HPP
