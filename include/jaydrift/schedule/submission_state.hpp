#ifndef JAYDRIFT_SCHEDULE_SUBMISSION_STATE_HPP
#define JAYDRIFT_SCHEDULE_SUBMISSION_STATE_HPP

#include <jaydrift/core/time_ms.hpp>
#include <jaydrift/schedule/occurrence_state.hpp>
#include <jaydrift/schedule/submission.hpp>
#include <jaydrift/schedule/submission_phase.hpp>
#include <jaydrift/schedule/submission_terms.hpp>
#include <jaydrift/schedule/task_id.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace jaydrift::schedule {

/// A submission, as held by the owner of its shard.
struct submission_state
{
    std::string id;
    std::string queue;
    submission work;

    /// Shard that has the submission, if that is another one: some of its tasks
    /// were assigned to this shard, which writes none of its records.
    std::optional<std::uint32_t> home;

    /// Terms that apply, and those in the stored record, if that has any. The
    /// last terms stay in force when the queue is removed.
    submission_terms terms;
    std::optional<submission_terms> stored_terms;

    std::vector<occurrence_state> occurrences;
    submission_phase phase = submission_phase::queued;

    /// Phase that the store holds. Callers are told of an end only once it is
    /// stored.
    submission_phase stored_phase = submission_phase::queued;

    /// Wall clock times. `accepted_at` is the time at which the owner took the
    /// submission, before the store had it; `ended_at` is 0 before the end.
    time_ms accepted_at;
    time_ms ended_at;

    /// Time on the daemon's clock by which the submission should be completed;
    /// decides the order of starts.
    time_ms objective;

    /// Counts changes; `stored_version` is the last one in the store.
    std::uint64_t version = 1;
    std::uint64_t stored_version = 0;

    /// Listed among the changes that the record log has yet to write.
    bool dirty = false;

    /// The store holds the `submission_record`.
    bool record_stored = false;

    /// Calls to answer, with the version that must be stored before.
    std::vector<std::pair<std::uint64_t, std::uint64_t>> waiters;

    /// Tasks of ready steps that wait for a place; 0 once the submission ended.
    std::uint32_t waiting_tasks = 0;

    /// A worker has begun a run. That a run was ordered does not show it: the
    /// worker may have refused it.
    bool started = false;

    /// Time at which this owner learned that; 0 if an earlier one did.
    time_ms started_at;

    /// The last progress record that was sent to the store tells that.
    bool start_written = false;

    /// Number of tasks that have a place.
    std::uint32_t placed_tasks = 0;

    /// If no task has a place and some wait: the time since which that is so.
    time_ms idle_since;

    /// Nothing ran for long; set until a task is started in the order of
    /// submissions.
    bool starved = false;

    /// No paused run is stopped to go on elsewhere before this time, so that
    /// others of the submission run meanwhile.
    time_ms next_move_at;

    /// Task whose run started at `minimum_pace` and may not work at full pace
    /// yet.
    std::optional<task_id> minimum_run;
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_SUBMISSION_STATE_HPP
