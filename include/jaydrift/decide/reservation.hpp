#ifndef JAYDRIFT_DECIDE_RESERVATION_HPP
#define JAYDRIFT_DECIDE_RESERVATION_HPP

#include <jaydrift/core/resources.hpp>
#include <jaydrift/core/task_class.hpp>

#include <string>

namespace jaydrift::decide {

/// Demand booked on a worker for one task.
struct reservation
{
    std::string kind;
    task_class priority = task_class::batch;
    resources demand;

    /// Taken from a worker's inventory; no module has claimed the task yet.
    bool unclaimed = false;
};

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_RESERVATION_HPP
