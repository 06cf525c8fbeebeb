#ifndef JAYDRIFT_DECIDE_DAEMON_SETTINGS_HPP
#define JAYDRIFT_DECIDE_DAEMON_SETTINGS_HPP

#include <jaydrift/core/member_info.hpp>
#include <jaydrift/core/time_ms.hpp>
#include <jaydrift/core/zone_location.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace jaydrift::decide {

/// Settings of a daemon's reducer. Every duration is in milliseconds.
struct daemon_settings
{
    member_info self;

    /// Daemons that are contacted from the start and for ever; others are found
    /// through the store.
    std::vector<member_info> peers;
    std::vector<std::string> regions;

    /// Availability zones that exist; a policy may name only these.
    std::vector<zone_location> zones;
    std::uint32_t shards_per_region = 4;

    time_ms heartbeat_interval{500};

    /// A daemon without a heartbeat for this long is suspected dead and does
    /// not count as live.
    time_ms suspect_after{1500};

    /// Time between two rounds of renewals, which go to every voter.
    time_ms renew_interval{700};

    /// How long an owner may serve after it sent a round of renewals that a
    /// quorum accepted.
    time_ms authority_duration{2000};

    /// Time between two renewals of a worker that is not a voter. It is long,
    /// so that there is less control traffic.
    time_ms non_voter_renew_interval{5000};

    /// Length of every worker's lease; long for the same reason.
    time_ms worker_lease{15000};
    std::uint32_t voters_per_shard = 5;

    /// Lease of this daemon's key in the store.
    time_ms member_lease{9000};

    /// Time between two queries of the VM list.
    time_ms vm_list_interval{1000};
    time_ms store_timeout{1000};
    time_ms worker_timeout{1500};
    time_ms peer_timeout{1000};

    /// How long an owner remembers request IDs.
    time_ms request_retention{600000};

    /// Largest difference between the clocks of a caller and a daemon.
    time_ms clock_skew{1000};
    std::uint32_t max_waiting_requests = 2000;
    std::uint32_t max_waiting_tasks = 100000;

    /// Time between the start of a planned stop and the hand-over. The load
    /// balancer in front of the daemons notices the stop during it.
    time_ms drain{1000};
    std::uint64_t random_seed = 1;
};

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_DAEMON_SETTINGS_HPP
