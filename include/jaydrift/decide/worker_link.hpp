#ifndef JAYDRIFT_DECIDE_WORKER_LINK_HPP
#define JAYDRIFT_DECIDE_WORKER_LINK_HPP

#include <jaydrift/core/task_report.hpp>
#include <jaydrift/core/time_ms.hpp>
#include <jaydrift/decide/clock_reading.hpp>

#include <cstdint>
#include <optional>
#include <vector>

namespace jaydrift::decide {

/// What this daemon's term knows about one worker of the shard.
struct worker_link
{
    /// The VM list names the worker as not gone.
    bool listed = true;

    /// The worker accepted this term's epoch and replies to renewals.
    bool fenced = false;

    /// The worker reported its tasks to this term.
    bool inventoried = false;

    /// The worker's history was incomplete, as after a restart, so its
    /// inventory may lack ended tasks.
    bool history_incomplete = false;

    /// Correlation number of the outstanding fence; 0 means none.
    std::uint64_t fence_call = 0;

    /// No start is sent before this time.
    time_ms usable_at;

    /// When the next fence, and the next renewal of a worker that is not a
    /// voter, are due.
    time_ms fence_at;
    time_ms renew_at;

    /// Renewals in a row without a reply.
    std::uint32_t failures = 0;

    /// When the last reply arrived, or the link was added.
    time_ms answered_at;

    /// When every lease that was granted so far has expired, in this daemon's
    /// clock.
    time_ms lease_end;

    /// When every start that was sent so far is past its deadline.
    time_ms last_start_deadline;

    /// The expiry of the lease was reported since the last renewal.
    bool lapse_reported = false;

    /// Generation of the voter set at which the worker was found to have lost
    /// its state, and with it the epoch that it had accepted; 0 if it was not.
    /// Its vote counts only for voter sets of a higher generation.
    std::uint64_t state_lost_generation = 0;

    /// Lower bound of the worker's clock; nothing until the worker is fenced.
    std::optional<clock_reading> clock;

    /// Tasks that the worker reported before the shard was acquired; delivered
    /// to the other modules at the acquisition.
    std::vector<task_report> inventory;
};

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_WORKER_LINK_HPP
