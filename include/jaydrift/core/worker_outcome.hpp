#ifndef JAYDRIFT_CORE_WORKER_OUTCOME_HPP
#define JAYDRIFT_CORE_WORKER_OUTCOME_HPP

#include <cstdint>

namespace jaydrift {

/// Result of a request to a worker. All but `ok`, `failed` and
/// `already_started` mean that the request changed nothing.
enum class worker_outcome : std::uint8_t
{
    ok,

    /// The worker knows a higher epoch or another owner of the shard, or was
    /// not fenced with this epoch.
    stale_epoch,

    /// The worker knows a higher generation of the voter set.
    stale_generation,

    /// The latest start of the task has passed.
    past_deadline,

    /// The shard has no lease on the worker.
    lease_lapsed,

    /// The task does not fit on the worker now, or the worker has too many
    /// tasks or calls.
    over_limit,

    /// The VM is leaving, or the worker is stopping.
    leaving,

    /// The worker does not run this attempt of the task.
    unknown_task,

    /// The task was started on the worker before.
    already_started,

    /// The task was started and did not finish.
    failed
};

} // namespace jaydrift

#endif // JAYDRIFT_CORE_WORKER_OUTCOME_HPP
