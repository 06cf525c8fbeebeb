#include "large_configuration.hpp"

#include "callers.hpp"
#include "faults.hpp"
#include "regions.hpp"

#include <jaydrift/soak/soak_state.hpp>

#include <cstddef>

namespace jaydrift::soak::large_configuration {

namespace {

/// Times since the start of the phase: the configuration changes from the first
/// to the last one.
constexpr time_ms first_change{1500};
constexpr time_ms last_change{5000};
constexpr time_ms end{10000};
constexpr time_ms change_interval{700};

constexpr time_ms probe_interval{250};

/// Rate of the shared link. One daemon reads the configuration of 250 KB in 0.6
/// s, three that all do so need 1.8 s.
constexpr std::size_t link_bytes_per_second = 420000;

/// Sets the links to the store of the daemons of the other region.
void set_region_link(soak_state const& state, link_mode mode,
                     effect_list& effects)
{
    for (std::size_t i = 0; i < state.daemons.size(); ++i)
    {
        if (is_remote(i))
        {
            effects.push_back(
                set_link{{false, i}, mode, link_bytes_per_second});
        }
    }
}

} // namespace

bool run(soak_state& state, time_ms now, effect_list& effects)
{
    auto const elapsed = now - state.phase_since;
    if (elapsed >= end)
    {
        state.large_configuration = false;
        faults::change_configuration(state, now, effects);
        set_region_link(state, link_mode::pass, effects);
        return true;
    }
    if (elapsed >= first_change && !state.large_configuration)
    {
        state.large_configuration = true;
        set_region_link(state, link_mode::shared, effects);
    }
    if (elapsed >= first_change && elapsed < last_change
        && now >= state.next_large_change)
    {
        // Two steps, so that only the last change adds or removes the queue
        // that daemons are asked for.
        ++state.config_version;
        state.next_large_change = now + change_interval;
        faults::change_configuration(state, now, effects);
    }
    if (elapsed >= last_change
        && state.next_large_change < state.phase_since + end)
    {
        state.next_large_change = state.phase_since + end;
        faults::change_configuration(state, now, effects);
    }
    if (elapsed >= last_change && now >= state.next_check)
    {
        state.next_check = now + probe_interval;
        callers::probe_extra_queue(state, now, effects);
    }
    return false;
}

} // namespace jaydrift::soak::large_configuration
