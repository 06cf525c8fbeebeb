#ifndef JAYDRIFT_SOAK_LINK_MODE_HPP
#define JAYDRIFT_SOAK_LINK_MODE_HPP

#include <cstdint>

namespace jaydrift::soak {

/// What a proxy does with the bytes of its connections.
enum class link_mode : std::uint8_t
{
    pass,
    /// Bytes arrive later, in both directions.
    delay,
    /// Open connections are closed with a TCP reset, and new ones as soon as
    /// they are accepted.
    reset,

    /// Nothing arrives in either direction.
    silent,

    /// Requests arrive, but answers do not.
    one_way,

    /// Answers arrive at a limited rate on each connection.
    slow,

    /// Answers arrive at a limited rate that all links in this mode share.
    shared
};

} // namespace jaydrift::soak

#endif // JAYDRIFT_SOAK_LINK_MODE_HPP
