#ifndef JAYDRIFT_SCHEDULE_STORE_AREA_HPP
#define JAYDRIFT_SCHEDULE_STORE_AREA_HPP

#include <cstdint>

namespace jaydrift::schedule {

/// Groups of records that are read and watched together.
enum class store_area : std::uint8_t
{
    /// Configuration and closures of availability zones.
    operators,

    /// Entries of the workers.
    workers,

    /// Layout, owners and members.
    coordination,

    /// Submissions of a shard, their progress and the write serial.
    submissions
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_STORE_AREA_HPP
