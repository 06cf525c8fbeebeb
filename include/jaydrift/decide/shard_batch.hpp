#ifndef JAYDRIFT_DECIDE_SHARD_BATCH_HPP
#define JAYDRIFT_DECIDE_SHARD_BATCH_HPP

#include <jaydrift/core/task_class.hpp>
#include <jaydrift/core/task_report.hpp>
#include <jaydrift/core/time_ms.hpp>
#include <jaydrift/decide/job_table.hpp>
#include <jaydrift/decide/pending_record.hpp>
#include <jaydrift/decide/reserved_worker.hpp>
#include <jaydrift/decide/task_ref.hpp>

#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace jaydrift::decide {

/// The batch work of one shard at its owner.
struct shard_batch
{
    /// IDs of the jobs of one class and team that have tasks to start, by order
    /// of submission.
    using queue = std::map<std::uint64_t, std::string>;

    /// Epoch under which this daemon owns the shard; 0 before it is known.
    std::uint64_t epoch = 0;

    /// The journal has been read.
    bool loaded = false;

    /// The running tasks of all workers are known, so no task is in the phase
    /// `unresolved` any more.
    bool resolved = false;
    job_table table;

    /// Records that are not durable yet, by sequence number.
    std::map<std::uint64_t, pending_record> pending;

    /// Sequence numbers of the submissions among them, by job ID.
    std::map<std::string, std::uint64_t, std::less<>> submissions;

    /// Inventories that arrived before the journal was read, by worker.
    std::map<std::string, std::vector<task_report>> inventories;

    /// Workers that sent their inventory or whose lease has expired. They run
    /// no task of the shard that this daemon does not know of.
    std::set<std::string, std::less<>> accounted_for;
    std::map<std::pair<task_class, std::string>, queue> queues;

    /// Processors that the placed tasks demand, in millicores by team.
    std::map<std::string, std::int64_t> used_millicores;
    std::optional<reserved_worker> reserved;

    /// Failed tasks by the time of their retry.
    std::multimap<time_ms, task_ref> delayed;

    /// Tasks in the phase `uncertain`.
    std::set<task_ref> uncertain;

    /// IDs of cancelled jobs with placed tasks.
    std::set<std::string> cancelling;

    /// IDs of jobs that no worker can run; see
    /// `batch_job::unplaceable_reason`.
    std::set<std::string> unplaceable;

    /// When the timer is next due for the shard.
    time_ms wake_at{std::numeric_limits<std::int64_t>::max()};
};

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_SHARD_BATCH_HPP
