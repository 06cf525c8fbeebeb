#ifndef JAYDRIFT_SCHEDULE_SHARD_LOAD_HPP
#define JAYDRIFT_SCHEDULE_SHARD_LOAD_HPP

#include <cstdint>

namespace jaydrift::schedule {

/// Load of a shard without usable workers, or of one whose load is not known.
/// Far above any other load, so that nothing is relocated there.
inline constexpr std::int64_t load_unavailable = 1000000;

/// Work of a shard, in thousandths of the processors of its usable workers.
struct shard_load
{
    /// Reserved by firm tasks that run, or demanded by those that wait: all
    /// tasks that are not opportunistic, so urgent and long-running ones.
    std::int64_t firm = load_unavailable;

    /// Declared by opportunistic tasks that run or wait.
    std::int64_t opportunistic = load_unavailable;

    /// The part of `firm` that is of long-running tasks.
    std::int64_t long_running = load_unavailable;
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_SHARD_LOAD_HPP
