#ifndef JAYDRIFT_SCHEDULE_LAYOUT_STATE_HPP
#define JAYDRIFT_SCHEDULE_LAYOUT_STATE_HPP

#include <jaydrift/core/time_ms.hpp>

#include <cstddef>
#include <cstdint>

namespace jaydrift::schedule {

/// Progress of the first daemons of a deployment in choosing the layout.
struct layout_state
{
    /// The store has been read and holds no layout, or one that cannot be read;
    /// then this is its revision.
    bool absent = false;
    std::uint64_t revision = 0;

    /// The store holds owner records of shards below this number.
    std::uint32_t known_shards = 0;

    time_ms absent_since;

    /// Earliest time of the next count of the workers.
    time_ms next_count;

    /// From this time on this daemon counts the workers even if it is not the
    /// first one by name.
    time_ms fallback_at;

    /// Result of the last count.
    std::size_t worker_count = 0;
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_LAYOUT_STATE_HPP
