#include <jaydrift/app/standin_controls.hpp>

#include <jaydrift/app/control_parameters.hpp>
#include <jaydrift/core/vm_info.hpp>
#include <jaydrift/process/setting_values.hpp>

#include <array>
#include <cstdint>
#include <stdexcept>
#include <utility>

namespace jaydrift::app {

namespace {

constexpr std::uint64_t max_duration_ms = 3'600'000;
constexpr std::uint64_t max_count = 1'000'000'000;
/// The largest factor of run times and usage, 100, in thousandths.
constexpr std::uint64_t max_permille = 100'000;

/// A control that sets a fault to a number from 0 to `max_value`.
template<class Fault>
struct number_control
{
    std::string_view name;
    Fault fault;
    std::uint64_t max_value;
};

constexpr std::array<number_control<standin::store_fault>, 3> store_controls{{
    {"outage", standin::store_fault::outage, 1},
    {"slow", standin::store_fault::slowness, max_duration_ms},
    {"lose", standin::store_fault::lose_answers, max_count},
}};

constexpr std::array<number_control<standin::worker_fault>, 5> worker_controls{{
    {"fail", standin::worker_fault::fail_starts, 1},
    {"leave", standin::worker_fault::leave, 1},
    {"usage-lag", standin::worker_fault::usage_lag, max_duration_ms},
    {"run-time", standin::worker_fault::run_time_permille, max_permille},
    {"usage", standin::worker_fault::usage_permille, max_permille},
}};

constexpr std::array<number_control<standin::backend_fault>, 3>
    backend_controls{{
        {"slow", standin::backend_fault::slowness, max_duration_ms},
        {"fail", standin::backend_fault::fail, 1},
        {"drain", standin::backend_fault::drain, 1},
    }};

constexpr std::array<std::pair<std::string_view, vm_state>, 3> vm_states{{
    {"live", vm_state::live},
    {"leaving", vm_state::leaving},
    {"gone", vm_state::gone},
}};

[[noreturn]] void throw_unknown_control(std::string_view name)
{
    throw std::invalid_argument("there is no control " + std::string(name));
}

template<class Event, class Controls>
Event fault_event(Controls const& controls, std::string_view name,
                  control_parameters const& parameters)
{
    for (auto const& control : controls)
    {
        if (control.name == name)
        {
            return {control.fault,
                    parameters.number("value", control.max_value)};
        }
    }
    throw_unknown_control(name);
}

standin::register_vm parse_registration(control_parameters const& parameters)
{
    vm_info vm;
    vm.worker = parameters.text("worker");
    vm.address = parameters.text("address");
    vm.region = parameters.text("region");
    vm.zone = parameters.text("zone");
    vm.rack = parameters.text("rack");
    vm.capacity = {parameters.number("millicores", max_count),
                   parameters.number("memory_mb", max_count),
                   parameters.number("accelerators", max_count)};
    return {vm};
}

/// Reads `value`, which is `<kind>,<noisy kind>,<thousandths>`.
standin::set_noise parse_noise(control_parameters const& parameters)
{
    auto const parts = process::split(parameters.text("value"), ',');
    std::uint64_t permille = 0;
    if (parts.size() != 3
        || process::parse_number(parts[2], 1, max_permille, permille))
    {
        throw std::invalid_argument(
            "the parameter value must be <kind>,<noisy kind>,<thousandths>");
    }
    return {std::string(parts[0]), std::string(parts[1]),
            static_cast<std::int64_t>(permille)};
}

} // namespace

standin::store_event store_control(std::string_view name,
                                   control_parameters const& parameters)
{
    if (name == "register")
    {
        return parse_registration(parameters);
    }
    for (auto const& [state_name, state] : vm_states)
    {
        if (name == state_name)
        {
            return standin::mark_vm{parameters.text("value"), state};
        }
    }
    return fault_event<standin::set_store_fault>(store_controls, name,
                                                 parameters);
}

standin::worker_event worker_control(std::string_view name,
                                     control_parameters const& parameters)
{
    if (name == "noise")
    {
        return parse_noise(parameters);
    }
    return fault_event<standin::set_worker_fault>(worker_controls, name,
                                                  parameters);
}

standin::backend_event backend_control(std::string_view name,
                                       control_parameters const& parameters)
{
    return fault_event<standin::set_backend_fault>(backend_controls, name,
                                                   parameters);
}

std::string registration_query(vm_info const& vm)
{
    return "worker=" + vm.worker + "&address=" + vm.address
           + "&region=" + vm.region + "&zone=" + vm.zone + "&rack=" + vm.rack
           + "&millicores=" + std::to_string(vm.capacity.millicores)
           + "&memory_mb=" + std::to_string(vm.capacity.memory_mb)
           + "&accelerators=" + std::to_string(vm.capacity.accelerators);
}

} // namespace jaydrift::app
