#ifndef JAYDRIFT_SCHEDULE_OWNERSHIP_STATE_HPP
#define JAYDRIFT_SCHEDULE_OWNERSHIP_STATE_HPP

#include <jaydrift/core/time_ms.hpp>
#include <jaydrift/schedule/owner_record.hpp>
#include <jaydrift/schedule/owner_role.hpp>
#include <jaydrift/schedule/owner_silence.hpp>
#include <jaydrift/schedule/roster_record.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace jaydrift::schedule {

/// Interval of heartbeats to the daemons that rank first as successors.
inline constexpr time_ms heartbeat_interval{150};

/// Ownership of a shard as far as this daemon knows.
struct ownership_state
{
    owner_role role = owner_role::follower;

    /// Newest owner record and its revision; revision 0 if the store holds
    /// none.
    owner_record record;
    std::uint64_t revision = 0;

    /// Revision of the last write of this daemon in its present ownership; 0
    /// before the first one.
    std::uint64_t written_revision = 0;

    /// Highest fencing token of a worker whose state was removed; 0 if there is
    /// none.
    std::uint64_t forgotten_token = 0;

    /// Revision that the last claim expected.
    std::uint64_t claimed_revision = 0;

    /// Daemons that may take over the shard, and the revision of the record; 0
    /// if the store holds none.
    roster_record roster;
    std::uint64_t roster_revision = 0;

    /// Roster of the write in flight; absent if there is none.
    std::optional<roster_record> next_roster;

    /// Last time at which the owner is known to have been alive, by a heartbeat
    /// to this daemon or to a peer, by a new owner record or by a write. Also
    /// set when this daemon learns of the shard or steps down, since the
    /// silence of the owner is counted from then.
    time_ms owner_alive_at;

    /// Last heartbeat of the owner that reached this daemon; long before the
    /// start if there was none.
    time_ms last_heartbeat_at{-1000000};

    /// Time from one heartbeat to the next, according to the last one.
    time_ms heartbeat_interval = schedule::heartbeat_interval;

    /// Time at which the peers were asked about a silent owner; absent while
    /// the owner is heard.
    std::optional<time_ms> queried_at;

    /// What the store tells of an owner that has been silent for long; absent
    /// while the owner is heard.
    std::optional<owner_silence> silence;

    /// Earliest time of the next attempt to become the owner.
    time_ms next_claim;

    /// Time at which the present role was entered.
    time_ms role_since;
    time_ms next_heartbeat;

    /// Next heartbeat to all daemons, also those that do not rank first as
    /// successors.
    time_ms next_full_heartbeat;

    /// Address of the daemon that was last asked to take over; empty if none
    /// was.
    std::string asked_address;

    /// When the owner first knew, in the last outage of the store for it, that
    /// a peer reaches the store.
    std::optional<time_ms> peer_reached_store_at;

    /// A read of the owner record is in flight.
    bool verifying = false;

    // Progress of a recovery.
    bool submissions_read = false;

    bool assignments_read = false;

    /// Time of the next reads after a failed one, and the number of failures in
    /// a row.
    std::optional<time_ms> read_again_at;
    std::uint32_t failed_reads = 0;

    /// The area of the worker entries has been read.
    bool workers_read = false;

    /// Time at which all records were read and fencing began.
    std::optional<time_ms> fencing_since;

    /// Time by which the runs that an earlier owner started on workers that
    /// have not been fenced have ended, since their leases have expired. Tasks
    /// that may be such runs do not start before it.
    time_ms unaccounted_until;
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_OWNERSHIP_STATE_HPP
