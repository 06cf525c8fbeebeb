#ifndef JAYDRIFT_SOAK_LINK_ID_HPP
#define JAYDRIFT_SOAK_LINK_ID_HPP

#include <compare>
#include <cstddef>

namespace jaydrift::soak {

/// Names a proxied link: from one daemon to the store, or from all daemons to
/// one worker.
struct link_id
{
    bool to_worker = false;

    /// Number of the daemon or of the worker.
    std::size_t number = 0;

    auto operator<=>(link_id const&) const = default;
};

} // namespace jaydrift::soak

#endif // JAYDRIFT_SOAK_LINK_ID_HPP
