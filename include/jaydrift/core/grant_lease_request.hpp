#ifndef JAYDRIFT_CORE_GRANT_LEASE_REQUEST_HPP
#define JAYDRIFT_CORE_GRANT_LEASE_REQUEST_HPP

#include <jaydrift/core/time_ms.hpp>

namespace jaydrift {

/// Asks the store for a lease.
struct grant_lease_request
{
    time_ms time_to_live;
};

} // namespace jaydrift

#endif // JAYDRIFT_CORE_GRANT_LEASE_REQUEST_HPP
