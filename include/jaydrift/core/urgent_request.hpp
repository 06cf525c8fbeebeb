#ifndef JAYDRIFT_CORE_URGENT_REQUEST_HPP
#define JAYDRIFT_CORE_URGENT_REQUEST_HPP

#include <jaydrift/core/time_ms.hpp>

#include <optional>
#include <string>

namespace jaydrift {

/// An urgent request of a caller.
struct urgent_request
{
    std::string id;
    std::string kind;

    /// Region whose shards own the request ID; empty: the receiving daemon's.
    std::string home_region;

    /// Time of the caller's first attempt; absent if unknown. Wall clock time
    /// in messages; the receiving daemon converts it to its own monotonic
    /// clock.
    std::optional<time_ms> issued_at;

    /// How long the caller waits, counted from the request's arrival at a
    /// daemon.
    time_ms time_limit;
    std::string payload;
};

} // namespace jaydrift

#endif // JAYDRIFT_CORE_URGENT_REQUEST_HPP
