#ifndef JAYDRIFT_SCHEDULE_PENDING_WORKER_CALL_HPP
#define JAYDRIFT_SCHEDULE_PENDING_WORKER_CALL_HPP

#include <jaydrift/core/time_ms.hpp>
#include <jaydrift/schedule/run_id.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace jaydrift::schedule {

/// An order to a worker that has no reply yet.
struct pending_worker_call
{
    /// Which of the orders to a worker it is.
    enum class order_kind : std::uint8_t
    {
        hold,
        start,
        stop,
        pace
    };

    order_kind kind = order_kind::hold;
    std::uint32_t shard = 0;
    std::string worker;

    /// Empty for a hold order.
    run_id run;

    /// Pace that was ordered; 0 for other orders.
    std::uint32_t pace_percent = 0;
    time_ms sent_at;

    /// Fencing token of the order, and the end of the lease that it grants on
    /// the worker's clock, if it grants one.
    std::uint64_t token = 0;
    std::optional<time_ms> lease_until;

    /// Last reading of the worker's clock before the order, if there is one.
    std::optional<time_ms> clock;

    /// Process of the worker that the order was meant for; 0 if unknown.
    time_ms process_started_at;

    /// Bytes that `start_flow` counts; 0 for other orders than starts.
    std::int64_t bytes = 0;
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_PENDING_WORKER_CALL_HPP
