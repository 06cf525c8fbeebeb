#ifndef JAYDRIFT_DECIDE_MEMBER_KEY_HPP
#define JAYDRIFT_DECIDE_MEMBER_KEY_HPP

#include <jaydrift/core/time_ms.hpp>

#include <cstdint>

namespace jaydrift::decide {

/// State of this daemon's key in the store. The key is bound to a lease, so it
/// disappears some time after the daemon ends.
struct member_key
{
    /// Correlation number of the outstanding call; 0 means none.
    std::uint64_t correlation = 0;

    /// ID of the granted lease; 0 means none.
    std::uint64_t lease = 0;

    /// The key was written with this lease.
    bool written = false;

    time_ms next_call;
};

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_MEMBER_KEY_HPP
