#ifndef JAYDRIFT_SCHEDULE_SHARD_STATE_HPP
#define JAYDRIFT_SCHEDULE_SHARD_STATE_HPP

#include <jaydrift/core/string_hash.hpp>
#include <jaydrift/core/time_ms.hpp>
#include <jaydrift/schedule/cancellation_state.hpp>
#include <jaydrift/schedule/guest_read.hpp>
#include <jaydrift/schedule/interference_model.hpp>
#include <jaydrift/schedule/ownership_state.hpp>
#include <jaydrift/schedule/pending_room_offer.hpp>
#include <jaydrift/schedule/record_log_state.hpp>
#include <jaydrift/schedule/relocation_state.hpp>
#include <jaydrift/schedule/remembered_demand.hpp>
#include <jaydrift/schedule/shard_load.hpp>
#include <jaydrift/schedule/submission_state.hpp>
#include <jaydrift/schedule/task_id.hpp>
#include <jaydrift/schedule/task_transfer.hpp>
#include <jaydrift/schedule/wait_counts.hpp>
#include <jaydrift/schedule/worker_state.hpp>
#include <jaydrift/schedule/worker_transfer.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

namespace jaydrift::schedule {

/// A shard: a part of the workers, with the submissions that run on them. The
/// owner record names one owner at a time; a former owner may keep its role
/// until it hears of its successor.
struct shard_state
{
    std::uint32_t number = 0;
    ownership_state ownership;

    /// As the owner reported it last, plus what this daemon has sent there
    /// since.
    shard_load load;

    /// Load in the last report to the owners of other shards, and the time of
    /// the last report ahead of a heartbeat.
    shard_load announced_load;
    time_ms load_announced_at;

    // The members below are empty unless this daemon holds the shard.
    record_log_state record_log;
    std::map<std::string, worker_state, std::less<>> workers;
    std::unordered_map<std::string, submission_state, string_hash,
                       std::equal_to<>>
        submissions;

    /// Submissions that were relocated to their second shard, by ID.
    std::unordered_map<std::string, relocation_state> relocations;
    time_ms next_relocation_expiry;

    /// Cancels of IDs that were not known, by ID.
    std::unordered_map<std::string, cancellation_state, string_hash,
                       std::equal_to<>>
        cancellations;
    time_ms next_cancellation_expiry;

    /// IDs of submissions that have not ended.
    std::set<std::string> active;
    interference_model interference;

    /// Something has changed that may allow a task to start.
    bool placement_due = false;

    /// Time of the last pass over the waiting tasks, and the duration of the
    /// timer step that it was part of.
    time_ms last_pass;
    time_ms last_pass_took;

    /// The same of the last pass that considered opportunistic steps too.
    time_ms last_full_pass;
    time_ms last_full_pass_took;

    /// Time of the next pass if nothing changes before.
    time_ms next_pass;

    /// Next search for a long-running task to move for one that waits.
    time_ms next_move_search;

    /// Next search for tasks that wait for long.
    time_ms next_wait_search;
    time_ms next_wait_summary;

    /// What the last search found.
    wait_counts waiting;

    /// Next search for tasks that need a worker of another shard, and how many
    /// searches in a row have found some.
    time_ms next_request;
    std::uint32_t request_rounds = 0;

    /// Worker that goes to another shard, and earliest time of the next one.
    std::optional<worker_transfer> transfer;
    time_ms next_transfer;

    /// Next search for long-running tasks that need room in another shard, and
    /// how many searches in a row have found some.
    time_ms next_room_request;
    std::uint32_t room_request_rounds = 0;

    /// Demands of other shards, by task, and the next search for room for them.
    std::map<task_id, remembered_demand> room_demands;
    time_ms next_offer_search;

    /// Tasks that go to another shard, and offers of room for the next ones.
    std::optional<schedule::task_transfer> task_transfer;
    std::deque<pending_room_offer> room_offers;

    /// Tasks of this shard's submissions that are elsewhere.
    std::set<task_id> given_tasks;

    /// Reads of submissions of other shards, by ID.
    std::map<std::string, guest_read> guest_reads;

    /// Version of the daemon's `task_assignments` that the tasks follow.
    std::uint64_t task_assignments_version = 0;

    /// Removal of assignments in flight, and earliest time of the next one.
    std::optional<std::uint64_t> task_removal_call;
    time_ms next_task_removal;

    /// Next search for assignments of workers that are gone.
    time_ms next_assignment_expiry;

    /// Next search for ended submissions whose retention is over.
    time_ms next_submission_expiry;
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_SHARD_STATE_HPP
