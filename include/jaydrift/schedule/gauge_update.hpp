#ifndef JAYDRIFT_SCHEDULE_GAUGE_UPDATE_HPP
#define JAYDRIFT_SCHEDULE_GAUGE_UPDATE_HPP

#include <cstdint>
#include <string>

namespace jaydrift::schedule {

/// Effect: sets a gauge.
struct gauge_update
{
    std::string name;
    std::string type;
    std::int64_t value = 0;
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_GAUGE_UPDATE_HPP
