#ifndef JAYDRIFT_SCHEDULE_SETTINGS_HPP
#define JAYDRIFT_SCHEDULE_SETTINGS_HPP

#include <jaydrift/core/time_ms.hpp>

#include <cstdint>
#include <string>

namespace jaydrift::schedule {

/// What the reducer must know of its daemon and of the platform's limits.
struct settings
{
    std::string node;

    /// Address of this daemon's peer port.
    std::string address;

    std::string region;

    /// Random number of this life of the process.
    std::uint64_t incarnation = 0;

    /// Share of a core; the largest daemons claim ownership first.
    double cpu_share = 1.0;

    /// Longest lease that a worker grants.
    time_ms max_lease{6000};

    /// Time from a stop request to SIGKILL.
    time_ms stop_grace{6000};

    /// How long ended submissions can be asked for.
    time_ms retention{120000};
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_SETTINGS_HPP
