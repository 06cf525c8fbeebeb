#ifndef JAYDRIFT_SCHEDULE_WORKER_STATE_HPP
#define JAYDRIFT_SCHEDULE_WORKER_STATE_HPP

#include <jaydrift/core/resources.hpp>
#include <jaydrift/core/time_ms.hpp>
#include <jaydrift/schedule/pending_end.hpp>
#include <jaydrift/schedule/run_id.hpp>
#include <jaydrift/schedule/run_state.hpp>
#include <jaydrift/schedule/serving_image.hpp>
#include <jaydrift/schedule/task_id.hpp>
#include <jaydrift/schedule/worker_entry.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace jaydrift::schedule {

/// A worker, as held by the owner of its shard.
struct worker_state
{
    worker_entry entry;

    /// The store holds an entry of the worker.
    bool listed = true;
    time_ms unlisted_at;

    /// The owner has logged that the worker drains.
    bool drain_noted = false;

    /// The stored fleet record has the worker's address, so a later owner will
    /// ask it for its runs. No task starts on the worker before that, so a
    /// worker that is new during an outage of the store gets none until its
    /// end.
    bool in_fleet_record = false;

    /// The present process of the worker has accepted its fencing token, as its
    /// answer to a hold order shows, so it refuses orders of earlier owners and
    /// orders that were meant for earlier processes. Tasks start
    /// only on such workers. An owner that is shut out itself gets
    /// `worker_status::stale_token`.
    bool fenced = false;

    /// Fencing token, if it was raised above that of the shard for a new
    /// process of the worker.
    std::uint64_t token = 0;

    /// A higher token is due, but no number is free: nothing is sent to the
    /// worker.
    bool token_due = false;

    /// An order with the present token granted a lease, so a later process that
    /// takes it could hold one.
    bool lease_granted = false;

    /// The worker may run tasks of an earlier owner that this owner does not
    /// know of, or have ends of them that it has not listed yet.
    bool unaccounted = false;

    /// Time at which the leases of an earlier owner, or of the process before a
    /// restart, have expired. A worker that has not been fenced by then runs
    /// nothing any more.
    time_ms runs_gone_at;

    /// Last reading of the worker's clock, and when it arrived.
    std::optional<time_ms> clock;
    time_ms clock_received_at;

    /// Latest end of the lease in any order so far, on the worker's clock.
    time_ms lease_until;

    /// Highest number of an end that was handled and of one that may be
    /// acknowledged; and the ends in between, whose effect is not stored yet.
    std::uint64_t last_handled_end = 0;
    std::uint64_t acknowledged_end = 0;
    std::deque<pending_end> pending_ends;

    /// The last list of ends was cut off.
    bool more_ends = false;

    std::map<run_id, run_state> runs;

    /// Sums over `runs`. `used` leaves out the processors of opportunistic
    /// runs, which are counted apart as far as the limits of their paces allow.
    resources used;
    std::int64_t opportunistic_millicores = 0;
    std::int64_t long_running_millicores = 0;

    /// The worker is about to go to another shard. No task starts on it.
    bool leaving = false;

    /// Long-running task that waits for the worker's room, and its demand.
    std::optional<task_id> kept_for;
    resources kept_demand;

    /// Until then it is kept also if the task is not in this shard yet: room
    /// was offered to the shard that has it.
    time_ms offered_until;

    /// Number of that shard.
    std::uint32_t offered_to = 0;

    /// Expected tail latencies of the serving tasks; computed when needed.
    std::vector<serving_image> serving_images;
    bool serving_images_valid = false;

    /// Share of the worker's processors that opportunistic runs used at the
    /// last report, by image.
    std::map<std::string, double, std::less<>> last_opportunistic_use;

    /// Number of the hold order that has no reply yet.
    std::optional<std::uint64_t> hold_in_flight;
    time_ms hold_sent_at;

    /// Earliest time of the next hold order.
    time_ms next_hold_at;

    /// Last time that the pace of opportunistic runs was adjusted.
    time_ms pace_checked_at;

    /// The pace of a run was raised after the last report, which does not show
    /// the effect yet.
    bool pace_raised = false;

    /// `acknowledged_end` is known to count the ends of the process that runs
    /// now: that process answered the last hold order, and no order since has
    /// been without a reply.
    bool process_confirmed = false;

    /// The last reply to a hold order had rows that cannot be read.
    bool unreadable_rows = false;

    /// Orders that ended without a reply since the last reply, and when the
    /// latest of them was sent.
    std::uint32_t unanswered_orders = 0;
    time_ms unanswered_sent_at;

    /// No task is started on the worker before this time.
    time_ms blocked_until;

    /// Number of failed runs since the last success; a failure of the same
    /// submission as the failure before does not count. Then the submission of
    /// the last failure.
    std::uint32_t failed_submissions_in_a_row = 0;
    std::string last_failed_submission;

    /// Length of the last quarantine, which the next one doubles; 0 after a
    /// success or a restart of the worker.
    time_ms last_quarantine{};
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_WORKER_STATE_HPP
