#ifndef JAYDRIFT_SCHEDULE_STORE_AREA_HPP
#define JAYDRIFT_SCHEDULE_STORE_AREA_HPP

#include <cstdint>

namespace jaydrift::schedule {

/// Group of records that are read and watched together.
enum class store_area : std::uint8_t
{
    /// Configuration and closures of availability zones.
    operators,

    /// Entries of the workers.
    workers,

    /// Layout, owners, rosters, members and assignments of workers and tasks.
    coordination,

    /// The assignments alone; a part of `coordination`. Read at a recovery.
    assignments,

    /// Everything that the owner of a shard writes into its record log:
    /// submissions, their progress, relocations, cancels of unknown IDs, the
    /// fleet, learned interference and the write serial. Read at a recovery,
    /// never watched.
    submissions
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_STORE_AREA_HPP
