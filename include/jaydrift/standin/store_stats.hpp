#ifndef JAYDRIFT_STANDIN_STORE_STATS_HPP
#define JAYDRIFT_STANDIN_STORE_STATS_HPP

#include <cstdint>

namespace jaydrift::standin {

/// Counters of the store for measurements; refused calls count as well.
struct store_stats
{
    std::uint64_t puts = 0;
    std::uint64_t erases = 0;
    std::uint64_t reads = 0;
    std::uint64_t watches = 0;
    std::uint64_t lease_grants = 0;
    std::uint64_t keep_alives = 0;
    std::uint64_t vm_lists = 0;
    std::uint64_t overloaded = 0;
    std::uint64_t dropped = 0;
};

} // namespace jaydrift::standin

#endif // JAYDRIFT_STANDIN_STORE_STATS_HPP
