#ifndef JAYDRIFT_DECIDE_MEMBER_KEY_HPP
#define JAYDRIFT_DECIDE_MEMBER_KEY_HPP

#include <jaydrift/core/time_ms.hpp>

#include <cstdint>

namespace jaydrift::decide {

/// The leased key of this daemon in the store.
struct member_key
{
    /// Outstanding call; 0 means none.
    std::uint64_t correlation = 0;

    /// Granted lease; 0 means none.
    std::uint64_t lease = 0;

    /// The key was written under the lease.
    bool written = false;

    time_ms next_call;
};

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_MEMBER_KEY_HPP
