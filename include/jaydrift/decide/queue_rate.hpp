#ifndef JAYDRIFT_DECIDE_QUEUE_RATE_HPP
#define JAYDRIFT_DECIDE_QUEUE_RATE_HPP

#include <jaydrift/core/time_ms.hpp>

#include <cstddef>
#include <cstdint>

namespace jaydrift::decide {

/// Length of a queue and the recent interval between starts, from which the
/// wait is estimated.
struct queue_rate
{
    std::size_t length = 0;

    /// Smoothed time between two starts while the queue was not empty.
    std::int64_t interval_us = 0;
    time_ms last_start;
};

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_QUEUE_RATE_HPP
