#ifndef JAYDRIFT_SCHEDULE_SETTINGS_HPP
#define JAYDRIFT_SCHEDULE_SETTINGS_HPP

#include <jaydrift/core/time_ms.hpp>

#include <cstdint>
#include <string>

namespace jaydrift::schedule {

/// Identity of the daemon, and limits that its environment sets.
struct settings
{
    /// Name of this daemon.
    std::string node;

    /// Address of this daemon's peer port.
    std::string address;

    std::string region;

    /// Random number that the process draws at its start. It distinguishes this
    /// process from earlier ones under the same name, and seeds the reducer.
    std::uint64_t incarnation = 0;

    /// Share of a core that the daemon has; daemons with larger shares claim
    /// ownership first.
    double cpu_share = 1.0;

    /// Longest lease that a worker accepts from an owner.
    time_ms max_lease{6000};

    /// Time from a stop request to SIGKILL.
    time_ms stop_grace{6000};

    /// How long callers can ask for ended submissions.
    time_ms retention{120000};
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_SETTINGS_HPP
