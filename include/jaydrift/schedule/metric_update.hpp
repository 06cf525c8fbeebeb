#ifndef JAYDRIFT_SCHEDULE_METRIC_UPDATE_HPP
#define JAYDRIFT_SCHEDULE_METRIC_UPDATE_HPP

#include <cstdint>
#include <string>

namespace jaydrift::schedule {

/// Value of a `metric_update` that increments a counter.
inline constexpr std::int64_t counter_increment = -1;

/// Effect: adds `value` to a histogram or, if it is negative, 1 to a counter.
struct metric_update
{
    std::string name;

    /// Label of a counter; unused for a histogram.
    std::string type;
    std::int64_t value = counter_increment;
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_METRIC_UPDATE_HPP
