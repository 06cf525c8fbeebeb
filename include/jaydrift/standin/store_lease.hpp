#ifndef JAYDRIFT_STANDIN_STORE_LEASE_HPP
#define JAYDRIFT_STANDIN_STORE_LEASE_HPP

#include <jaydrift/core/time_ms.hpp>

#include <set>
#include <string>

namespace jaydrift::standin {

/// Lease of the store, with the keys that are deleted when it expires.
struct store_lease
{
    time_ms time_to_live;
    time_ms expires_at;
    std::set<std::string> keys;
};

} // namespace jaydrift::standin

#endif // JAYDRIFT_STANDIN_STORE_LEASE_HPP
