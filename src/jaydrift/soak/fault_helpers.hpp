#ifndef JAYDRIFT_SOAK_FAULT_HELPERS_HPP
#define JAYDRIFT_SOAK_FAULT_HELPERS_HPP

#include <jaydrift/core/random.hpp>
#include <jaydrift/core/time_ms.hpp>
#include <jaydrift/soak/effect.hpp>

#include <cstdint>
#include <string>

namespace jaydrift::soak {

/// Returns a random time from `low` up to, but not including, `high` (ms).
inline time_ms random_time(random_source& random, std::int64_t low,
                           std::int64_t high)
{
    return time_ms(low
                   + static_cast<std::int64_t>(
                       random.below(static_cast<std::uint64_t>(high - low))));
}

/// Prints a line that begins with the time in ms.
inline void print(effect_list& effects, time_ms now, std::string const& text)
{
    effects.push_back(print_line{std::to_string(now.count()) + " " + text});
}

} // namespace jaydrift::soak

#endif // JAYDRIFT_SOAK_FAULT_HELPERS_HPP
