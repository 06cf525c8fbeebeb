#include <jaydrift/scenario/simulation_settings.hpp>

#include <stdexcept>

namespace jaydrift::scenario {

simulation_settings settings_for_deployment(std::string const& name)
{
    simulation_settings settings;
    if (name == "formosa")
    {
        settings.zones = {{"taoyuan", "north-tw"},
                          {"hsinchu", "north-tw"},
                          {"kaohsiung", "south-tw"}};
        settings.store_region = "north-tw";
        settings.worker_capacity = {64000, 250000, 4};
    }
    else if (name == "kallaloo")
    {
        settings.zones = {{"arima", "north"},
                          {"chaguanas", "north"},
                          {"san-fernando", "south"}};
        settings.store_region = "north";
        settings.worker_capacity = {16000, 60000, 0};
    }
    else
    {
        throw std::invalid_argument("unknown deployment '" + name
                                    + "'; known are formosa and kallaloo");
    }
    return settings;
}

} // namespace jaydrift::scenario
