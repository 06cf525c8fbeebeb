#ifndef JAYDRIFT_SCHEDULE_DAEMON_STATE_HPP
#define JAYDRIFT_SCHEDULE_DAEMON_STATE_HPP

#include <jaydrift/core/random.hpp>
#include <jaydrift/core/time_ms.hpp>
#include <jaydrift/schedule/assignment_state.hpp>
#include <jaydrift/schedule/configuration.hpp>
#include <jaydrift/schedule/layout_state.hpp>
#include <jaydrift/schedule/member_state.hpp>
#include <jaydrift/schedule/old_view_decisions.hpp>
#include <jaydrift/schedule/open_call.hpp>
#include <jaydrift/schedule/pending_worker_call.hpp>
#include <jaydrift/schedule/record_key.hpp>
#include <jaydrift/schedule/relay_state.hpp>
#include <jaydrift/schedule/settings.hpp>
#include <jaydrift/schedule/shard_state.hpp>
#include <jaydrift/schedule/standstill.hpp>
#include <jaydrift/schedule/start_flow_state.hpp>
#include <jaydrift/schedule/store_session_state.hpp>
#include <jaydrift/schedule/task_assignment_state.hpp>
#include <jaydrift/schedule/worker_entry.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace jaydrift::schedule {

/// Complete state of the reducer: everything that a daemon knows.
struct daemon_state
{
    settings options;
    random_source random;

    /// Time of the last event, and of the last `timer_due`.
    time_ms last_event_at;
    time_ms last_timer_at;

    /// Absent if the process has not stood still.
    std::optional<standstill> last_standstill;

    /// Wall clock time minus the time of events.
    time_ms wall_offset;
    time_ms next_tick;

    /// Operators' configuration; absent until it has been read.
    std::optional<configuration> config;
    std::set<std::string, std::less<>> closed_zones;

    /// The other daemons by name.
    std::map<std::string, member_state, std::less<>> members;
    store_session_state store;
    relay_state relay;
    old_view_decisions old_views;

    /// Revisions of records that cannot be read, as far as they were reported.
    std::map<record_key, std::uint64_t> unreadable_revisions;

    /// Calls of callers that have no answer yet, by number.
    std::map<std::uint64_t, open_call> calls;

    /// The shards by number; empty until the layout is known, then of fixed
    /// size.
    std::vector<shard_state> shards;
    layout_state layout;

    /// Assignments of workers to shards, by the ID of the worker.
    std::map<std::string, assignment_state, std::less<>> assignments;

    /// Assignments of tasks to shards, by the name of the record, and a number
    /// that rises with each change of them.
    std::map<std::string, task_assignment_state, std::less<>> task_assignments;
    std::uint64_t task_assignments_version = 1;

    /// Entries of all workers; empty unless this daemon holds a shard.
    std::map<std::string, worker_entry, std::less<>> worker_entries;

    /// Calls in flight to workers of any shard, by number.
    std::map<std::uint64_t, pending_worker_call> worker_calls;
    std::uint64_t next_worker_call = 1;
    start_flow_state start_flow;

    /// Numbers of waiting tasks of all shards, as the gauges show them.
    wait_counts shown_waiting;

    /// What the probes of the load balancer are told.
    bool ready = false;

    /// Time of the stop request.
    std::optional<time_ms> stopping_since;
    bool closing_connections = false;
    bool exiting = false;
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_DAEMON_STATE_HPP
