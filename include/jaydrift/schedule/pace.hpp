#ifndef JAYDRIFT_SCHEDULE_PACE_HPP
#define JAYDRIFT_SCHEDULE_PACE_HPP

#include <cstdint>

namespace jaydrift::schedule {

/// Speed of an opportunistic run as a share of the full one, in percent.
inline constexpr std::uint32_t full_pace = 100;

/// Lowest pace above 0. A slower task would hardly make progress.
inline constexpr std::uint32_t minimum_pace = 5;

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_PACE_HPP
