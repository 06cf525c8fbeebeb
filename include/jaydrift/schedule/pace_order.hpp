#ifndef JAYDRIFT_SCHEDULE_PACE_ORDER_HPP
#define JAYDRIFT_SCHEDULE_PACE_ORDER_HPP

#include <jaydrift/schedule/run_id.hpp>

#include <cstdint>

namespace jaydrift::schedule {

/// Limits the speed of a run to a share of its full speed; 0 pauses it.
struct pace_order
{
    run_id run;
    std::uint32_t pace_percent = 100;
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_PACE_ORDER_HPP
