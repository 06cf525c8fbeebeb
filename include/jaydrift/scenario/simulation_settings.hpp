#ifndef JAYDRIFT_SCENARIO_SIMULATION_SETTINGS_HPP
#define JAYDRIFT_SCENARIO_SIMULATION_SETTINGS_HPP

#include <jaydrift/core/resources.hpp>
#include <jaydrift/core/time_ms.hpp>
#include <jaydrift/core/zone_location.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace jaydrift::scenario {

/// Zones, sizes and seed of a simulated deployment.
struct simulation_settings
{
    std::vector<zone_location> zones;

    /// Region in which the store runs.
    std::string store_region;
    std::uint32_t workers_per_zone = 3;
    std::uint32_t daemons_per_zone = 2;
    std::uint32_t shards_per_region = 2;
    resources worker_capacity{8000, 32000, 2};

    /// Time that an executor takes for an urgent request.
    time_ms service_time{20};

    /// Determines clock offsets, message faults and the daemons' random
    /// choices.
    std::uint64_t seed = 1;
};

/// Returns the settings of the deployment `formosa` or `kallaloo`. Throws
/// `std::invalid_argument` for another name.
simulation_settings settings_for_deployment(std::string const& name);

} // namespace jaydrift::scenario

#endif // JAYDRIFT_SCENARIO_SIMULATION_SETTINGS_HPP
