#ifndef JAYDRIFT_SCHEDULE_SHARD_LOAD_HPP
#define JAYDRIFT_SCHEDULE_SHARD_LOAD_HPP

#include <cstdint>

namespace jaydrift::schedule {

/// Load of a shard without workers, or of one that has not been heard of.
inline constexpr std::int64_t no_room = 1000000;

/// Work of a shard in thousandths of the processors of its usable workers.
struct shard_load
{
    /// Reserved by urgent and long-running tasks, or waited for by them.
    std::int64_t firm = no_room;

    /// Declared by opportunistic tasks that run or wait.
    std::int64_t opportunistic = no_room;
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_SHARD_LOAD_HPP
