#ifndef JAYDRIFT_SCHEDULE_OWNERSHIP_STATE_HPP
#define JAYDRIFT_SCHEDULE_OWNERSHIP_STATE_HPP

#include <jaydrift/core/time_ms.hpp>
#include <jaydrift/schedule/owner_record.hpp>
#include <jaydrift/schedule/owner_role.hpp>
#include <jaydrift/schedule/roster_record.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace jaydrift::schedule {

/// Interval of heartbeats to the daemons that are the first to succeed.
inline constexpr time_ms heartbeat_interval{150};

/// Who owns a shard, as far as this daemon knows.
struct ownership_state
{
    owner_role role = owner_role::follower;

    /// Newest record and its revision; revision 0 if the store holds none.
    owner_record record;
    std::uint64_t revision = 0;

    /// Daemons that may succeed; revision 0 if the store holds no record.
    roster_record roster;
    std::uint64_t roster_revision = 0;

    /// As the owner is about to write it.
    std::optional<roster_record> next_roster;

    /// Last sign of the owner: a heartbeat, a peer's sighting or its record.
    time_ms heard_at;

    /// Last heartbeat that reached this daemon.
    time_ms heartbeat_at{-1000000};

    /// Time from one heartbeat to the next, as the owner said last.
    time_ms heartbeat_interval = schedule::heartbeat_interval;

    /// Time at which the peers were asked; absent while the owner is heard.
    std::optional<time_ms> queried_at;

    /// Earliest time of the next attempt to become the owner.
    time_ms next_claim;

    /// Entered the present role at this time.
    time_ms role_since;
    time_ms next_heartbeat;

    /// Next heartbeat to those that are not the first to succeed.
    time_ms next_full_heartbeat;

    /// Daemon that was asked to succeed.
    std::string successor;
    bool verifying = false;

    // Progress of a recovery.
    bool submissions_read = false;
    std::optional<time_ms> read_again_at;
    std::uint32_t failed_reads = 0;
    bool workers_read = false;
    std::optional<time_ms> fencing_since;

    /// Tasks that an earlier owner may have started wait at most until then.
    time_ms unaccounted_until;
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_OWNERSHIP_STATE_HPP
