#ifndef JAYDRIFT_SCHEDULE_WORKER_REPLIED_HPP
#define JAYDRIFT_SCHEDULE_WORKER_REPLIED_HPP

#include <jaydrift/core/time_ms.hpp>
#include <jaydrift/schedule/reported_end.hpp>
#include <jaydrift/schedule/reported_run.hpp>
#include <jaydrift/schedule/worker_status.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace jaydrift::schedule {

/// Event: a worker has answered an order, or no reply came in time.
struct worker_replied
{
    std::uint64_t call = 0;
    worker_status status = worker_status::lost;

    /// The worker's clock when it answered; absent without a reply.
    std::optional<time_ms> clock;

    /// Wall clock time at which the worker's process started; absent if the
    /// reply does not tell it.
    std::optional<time_ms> process_started_at;

    /// Only replies to a hold order fill these lists.
    std::vector<reported_run> running;
    std::vector<reported_end> ended;

    /// The worker may have more ends than it lists: a run in neither list may
    /// have ended with any outcome.
    bool more_ends = false;

    /// Rows of these lists that cannot be read. An end whose number and run can
    /// be read is not among them.
    std::size_t unreadable_runs = 0;
    std::size_t unreadable_ends = 0;
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_WORKER_REPLIED_HPP
