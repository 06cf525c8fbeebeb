#ifndef JAYDRIFT_SOAK_SET_LINK_HPP
#define JAYDRIFT_SOAK_SET_LINK_HPP

#include <jaydrift/soak/link_id.hpp>
#include <jaydrift/soak/link_mode.hpp>

#include <cstddef>

namespace jaydrift::soak {

/// Effect: sets the mode of the proxy of a link.
struct set_link
{
    link_id link;
    link_mode mode = link_mode::pass;

    /// Limit for each connection if the mode is `slow`, and for all links
    /// together if it is `shared`.
    std::size_t bytes_per_second = 0;
};

} // namespace jaydrift::soak

#endif // JAYDRIFT_SOAK_SET_LINK_HPP
