#ifndef JAYDRIFT_CORE_KEEP_ALIVE_REQUEST_HPP
#define JAYDRIFT_CORE_KEEP_ALIVE_REQUEST_HPP

#include <cstdint>

namespace jaydrift {

/// Extends a lease of the store.
struct keep_alive_request
{
    /// Number of the lease.
    std::uint64_t lease = 0;
};

} // namespace jaydrift

#endif // JAYDRIFT_CORE_KEEP_ALIVE_REQUEST_HPP
