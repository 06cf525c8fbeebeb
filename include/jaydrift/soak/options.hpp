#ifndef JAYDRIFT_SOAK_OPTIONS_HPP
#define JAYDRIFT_SOAK_OPTIONS_HPP

#include <jaydrift/core/time_ms.hpp>

#include <cstddef>
#include <cstdint>
#include <string>

namespace jaydrift::soak {

/// Limit of `options::daemons`.
inline constexpr std::size_t max_daemons = 100;

/// Settings of a run.
struct options
{
    std::uint64_t seed = 1;
    std::size_t daemons = 6;
    std::size_t workers = 8;

    /// Number of shards that the layout record in the store sets. If it is 0,
    /// there is no such record and the daemons choose.
    std::uint32_t shards = 0;

    /// Most odd entries that another writer leaves in the store at a time.
    std::size_t odd_entries = 12;

    /// Number of short tasks that callers submit before the store falls silent.
    std::size_t short_tasks = 0;

    /// Length of the phase in which faults begin.
    time_ms length{12000};

    /// Longest lease of a worker, also the daemons' bound maxHoldMs.
    time_ms max_lease{6000};

    /// Runs the phase `late_orders` instead of the other faults.
    bool late_orders = false;

    /// Of the orders, only holds are late in that phase.
    bool late_holds_only = false;

    /// Path of the daemon's program.
    std::string program;

    /// Folder for the daemons' settings files and logs.
    std::string folder;
};

} // namespace jaydrift::soak

#endif // JAYDRIFT_SOAK_OPTIONS_HPP
