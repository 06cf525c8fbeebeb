#ifndef JAYDRIFT_DECIDE_BATCH_JOB_HPP
#define JAYDRIFT_DECIDE_BATCH_JOB_HPP

#include <jaydrift/core/job_spec.hpp>
#include <jaydrift/core/job_status.hpp>
#include <jaydrift/core/task_class.hpp>
#include <jaydrift/core/time_ms.hpp>
#include <jaydrift/decide/batch_task.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace jaydrift::decide {

/// A batch job with its tasks, as the owner of its shard keeps it.
struct batch_job
{
    job_spec spec;
    task_class priority = task_class::batch;

    /// Place in the order of submissions.
    std::uint64_t order = 0;
    bool cancelled = false;

    /// Number of tasks that have finished.
    std::uint32_t finished = 0;

    /// Number of evictions of all tasks.
    std::uint32_t evictions = 0;

    /// Upper estimate of the length of the job's text in a snapshot.
    std::size_t bytes = 0;

    /// Why the job is parked: a task failed too often. Empty if none did.
    std::string failure;

    /// Why the job is parked: no worker can run a task of it today. Empty if
    /// one can.
    std::string unplaceable_reason;

    /// Empty once the job is closed and no task of it is placed.
    std::vector<batch_task> tasks;

    /// Indexes of the tasks that wait, in the order of their starts; those in
    /// another phase are skipped.
    std::deque<std::uint32_t> waiting;

    /// Indexes of the tasks that a worker runs or may run.
    std::set<std::uint32_t> placed;

    /// Number of placed tasks in each rack.
    std::map<std::string, std::uint32_t> racks;

    /// No placement is tried before this time.
    time_ms retry_at;

    /// Since when no worker had room for the job.
    std::optional<time_ms> blocked_since;

    /// Tells whether the job has finished or was cancelled, durably.
    bool closed() const { return cancelled || finished == spec.task_count; }

    /// Tells whether tasks of the job may be started: it is neither closed nor
    /// parked.
    bool startable() const
    {
        return !closed() && failure.empty() && unplaceable_reason.empty();
    }
};

/// Returns what callers are told about a job.
job_status status_of(batch_job const& job);

/// Tells whether two submissions are the same in all fields.
bool same_content(job_spec const& left, job_spec const& right);

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_BATCH_JOB_HPP
