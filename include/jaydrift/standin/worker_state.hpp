#ifndef JAYDRIFT_STANDIN_WORKER_STATE_HPP
#define JAYDRIFT_STANDIN_WORKER_STATE_HPP

#include <jaydrift/core/resources.hpp>
#include <jaydrift/core/shard_id.hpp>
#include <jaydrift/core/time_ms.hpp>
#include <jaydrift/core/usage_report.hpp>
#include <jaydrift/standin/ended_run.hpp>
#include <jaydrift/standin/run_log_entry.hpp>
#include <jaydrift/standin/shard_term.hpp>
#include <jaydrift/standin/task_run.hpp>
#include <jaydrift/standin/worker_settings.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace jaydrift::standin {

/// State of the stand-in of a worker.
struct worker_state
{
    worker_settings settings;

    /// Shards whose owners have fenced the worker.
    std::map<shard_id, shard_term> shards;
    std::uint64_t policy_version = 0;

    /// When the worker began to remember tasks, which is its first event.
    std::optional<time_ms> started_at;

    /// Running and ended tasks by ID; ended ones until they are forgotten.
    std::map<std::string, task_run, std::less<>> runs;
    /// IDs of the running tasks.
    std::set<std::string, std::less<>> running;
    /// Ended runs, oldest first.
    std::deque<ended_run> ended;
    /// IDs of the urgent requests whose answers are kept, oldest first.
    std::deque<std::string> answered;
    /// Total size of the kept answers.
    std::size_t answer_bytes = 0;
    /// Time up to which the work of running tasks is counted.
    time_ms progressed_to;
    /// Sum of the demand of the running tasks.
    resources used;
    /// Highest use of each resource so far.
    resources max_used;
    std::vector<run_log_entry> log;

    /// Usage measurements, oldest first. Each is kept until a newer one is old
    /// enough to be reported.
    std::deque<usage_report> usage;
    std::uint64_t usage_generation = 0;
    /// Time of the next usage measurement.
    time_ms next_usage;

    bool fail_starts = false;
    bool leaving = false;
    time_ms usage_lag{5'000};
    std::int64_t run_time_permille = 1000;
    std::int64_t usage_permille = 1000;
    /// Slowdown of the first kind by the second, in thousandths.
    std::map<std::pair<std::string, std::string>, std::int64_t> noise;
};

} // namespace jaydrift::standin

#endif // JAYDRIFT_STANDIN_WORKER_STATE_HPP
