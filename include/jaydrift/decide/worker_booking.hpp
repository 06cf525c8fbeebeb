#ifndef JAYDRIFT_DECIDE_WORKER_BOOKING_HPP
#define JAYDRIFT_DECIDE_WORKER_BOOKING_HPP

#include <jaydrift/core/time_ms.hpp>

#include <string>

namespace jaydrift::decide {

/// A reservation of a start whose reply was lost; the task may still run.
struct worker_booking
{
    time_ms until;
    std::string worker;
    std::string task;
};

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_WORKER_BOOKING_HPP
