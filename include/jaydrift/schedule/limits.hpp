#ifndef JAYDRIFT_SCHEDULE_LIMITS_HPP
#define JAYDRIFT_SCHEDULE_LIMITS_HPP

#include <jaydrift/core/time_ms.hpp>

#include <cstddef>
#include <cstdint>

/// Ranges of the figures of other parties. They are checked where a record or
/// message is decoded, and are small enough that no sum or product of the
/// reducer overflows.
namespace jaydrift::schedule::limits {

/// Millicores, MB or accelerators of a worker; MB or accelerators of a task.
inline constexpr std::int64_t max_amount = 1000000000;

/// Millicores of a task.
inline constexpr std::int64_t max_demand_millicores = 1000000;

/// A longer estimate is taken to be a week.
inline constexpr time_ms max_estimate{604800000};

/// Latency targets and objectives.
inline constexpr time_ms max_duration{1000000000};

/// Wall clock times, intervals and ages; the end of the year 9999.
inline constexpr time_ms max_time{253402300799999};

inline constexpr std::int64_t max_tasks_per_step = 5000;

/// The progress of this many tasks takes less than 1 MB, the largest value of
/// the store.
inline constexpr std::int64_t max_tasks_per_occurrence = 10000;

/// Tasks of a submission that have not ended, and all tasks that are kept:
/// further occurrences wait.
inline constexpr std::size_t max_unfinished_tasks = max_tasks_per_occurrence;
inline constexpr std::size_t max_kept_tasks = 200000;

/// Bytes of a caller's message. The stored record is at most three times as
/// long, which is less than the largest value of the store.
inline constexpr std::size_t max_submission_bytes = std::size_t{256} * 1024;

/// Bytes of a checkpoint.
inline constexpr std::size_t max_checkpoint_bytes = 256;

/// Occurrences of a submission, tasks of a step on one worker, unavailable
/// tasks, priorities and attempts.
inline constexpr std::int64_t max_count = 1000000;

inline constexpr std::int64_t max_shards = 64;

/// Revisions, versions, serials and numbers of runs and ends. JSON readers read
/// numbers up to 2^53 exactly.
inline constexpr std::int64_t max_number = std::int64_t{1} << 53U;

/// Numbers of runs and write serials from which the owner counts on: its own
/// must stay below `max_number`, or a later owner could not read them.
inline constexpr std::int64_t max_continued_number = max_number / 2;

/// The numbers of the runs of this term are below `max_number`; see
/// `run_number_base`.
inline constexpr std::int64_t max_term = (std::int64_t{1} << 32U) - 1;

/// Load of a shard in thousandths of its capacity.
inline constexpr std::int64_t max_load = 1000000000000;

/// Interval of heartbeats that a datagram may announce.
inline constexpr time_ms max_heartbeat_interval{10000};

/// Cores of a daemon.
inline constexpr double max_cpu_share = 1024.0;

inline constexpr double max_slack_factor = 1000.0;

/// Weight of the interference between two images, and its evidence.
inline constexpr double max_weight = 1000000.0;

} // namespace jaydrift::schedule::limits

#endif // JAYDRIFT_SCHEDULE_LIMITS_HPP
