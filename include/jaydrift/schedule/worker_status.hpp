#ifndef JAYDRIFT_SCHEDULE_WORKER_STATUS_HPP
#define JAYDRIFT_SCHEDULE_WORKER_STATUS_HPP

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace jaydrift::schedule {

/// How an order to a worker ended.
enum class worker_status : std::uint8_t
{
    ok,

    /// The worker has seen a higher fencing token: the daemon that sent the
    /// order is shut out there and steps down.
    stale_token,

    /// A run of the task with this or a higher number ended or was stopped
    /// there.
    old_run,

    /// The lease in the order has passed on the worker's clock.
    expired,

    /// The task does not fit.
    no_room,

    /// The worker refused the order for lack of an advice ticket; orders of the
    /// scheduler carry none.
    no_advice_ticket,

    /// The worker cannot read the order.
    invalid,

    /// The worker is unhealthy; nothing was done.
    unavailable,

    /// Another process of the worker, or another worker, answers at the
    /// address.
    wrong_instance,

    /// The order was not sent.
    not_sent,

    /// No reply came; the order may have been carried out, or may still be.
    lost
};

inline constexpr std::size_t worker_statuses =
    static_cast<std::size_t>(worker_status::lost) + 1;

/// Returns the name of the status in log lines.
std::string_view name_of(worker_status status);

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_WORKER_STATUS_HPP
