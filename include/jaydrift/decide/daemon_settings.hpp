#ifndef JAYDRIFT_DECIDE_DAEMON_SETTINGS_HPP
#define JAYDRIFT_DECIDE_DAEMON_SETTINGS_HPP

#include <jaydrift/core/member_info.hpp>
#include <jaydrift/core/time_ms.hpp>
#include <jaydrift/core/zone_location.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace jaydrift::decide {

/// Settings of a daemon's decisions. Every duration is in milliseconds.
struct daemon_settings
{
    member_info self;

    /// Daemons to contact first; more are found through the store.
    std::vector<member_info> peers;
    std::vector<std::string> regions;

    /// Availability zones that exist; a policy may name only these.
    std::vector<zone_location> zones;
    std::uint32_t shards_per_region = 4;

    time_ms heartbeat_interval{500};

    /// A peer without a heartbeat for this long is suspected dead.
    time_ms suspect_after{1500};
    time_ms renew_interval{700};

    /// How long a quorum's renewal is good for, from when it was sent.
    time_ms authority{2000};

    /// Renewal and lease of workers that are not voters; long ones bound the
    /// control traffic.
    time_ms idle_renew_interval{5000};
    time_ms idle_lease{15000};
    std::uint32_t voters_per_shard = 5;

    time_ms member_lease{9000};
    time_ms vm_list_interval{1000};
    time_ms store_timeout{1000};
    time_ms worker_timeout{1500};
    time_ms peer_timeout{1000};

    /// How long an owner remembers request IDs.
    time_ms request_retention{600000};
    time_ms clock_skew{1000};
    std::uint32_t max_waiting_requests = 2000;
    std::uint32_t max_waiting_tasks = 100000;

    /// Time between the start of a planned stop and the hand-over, in which the
    /// balancer learns of it.
    time_ms drain{1000};
    std::uint64_t random_seed = 1;
};

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_DAEMON_SETTINGS_HPP
