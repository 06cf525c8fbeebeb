#ifndef JAYDRIFT_SCHEDULE_STOP_ORDER_HPP
#define JAYDRIFT_SCHEDULE_STOP_ORDER_HPP

#include <jaydrift/schedule/run_id.hpp>

namespace jaydrift::schedule {

/// Stops a run. If it has not started yet, the worker refuses its start from
/// then on.
struct stop_order
{
    run_id run;
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_STOP_ORDER_HPP
