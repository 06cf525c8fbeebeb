#ifndef JAYDRIFT_SCHEDULE_START_ORDER_HPP
#define JAYDRIFT_SCHEDULE_START_ORDER_HPP

#include <jaydrift/core/time_ms.hpp>
#include <jaydrift/schedule/run_id.hpp>

#include <string>

namespace jaydrift::schedule {

/// Starts a run of a task.
struct start_order
{
    run_id run;

    /// Payload of the submission.
    std::string payload;

    /// New end of the worker's lease, on the worker's clock.
    time_ms lease_until;

    /// Empty to start from the beginning.
    std::string checkpoint;
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_START_ORDER_HPP
