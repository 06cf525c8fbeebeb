#ifndef JAYDRIFT_STANDIN_STORE_STATS_HPP
#define JAYDRIFT_STANDIN_STORE_STATS_HPP

#include <cstdint>

namespace jaydrift::standin {

/// Numbers of calls to the store by kind. Calls refused as overloaded are
/// included. Calls during an outage are counted in `dropped` only.
struct store_stats
{
    std::uint64_t puts = 0;
    std::uint64_t erases = 0;
    std::uint64_t reads = 0;
    std::uint64_t watches = 0;
    std::uint64_t lease_grants = 0;
    std::uint64_t keep_alives = 0;
    std::uint64_t vm_lists = 0;
    /// Calls refused because of the rate limits.
    std::uint64_t overloaded = 0;
    /// Calls that were never answered.
    std::uint64_t dropped = 0;
};

} // namespace jaydrift::standin

#endif // JAYDRIFT_STANDIN_STORE_STATS_HPP
