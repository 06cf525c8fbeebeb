#ifndef JAYDRIFT_SCHEDULE_WORKER_CALL_HPP
#define JAYDRIFT_SCHEDULE_WORKER_CALL_HPP

#include <jaydrift/core/time_ms.hpp>
#include <jaydrift/schedule/hold_order.hpp>
#include <jaydrift/schedule/pace_order.hpp>
#include <jaydrift/schedule/start_order.hpp>
#include <jaydrift/schedule/stop_order.hpp>

#include <cstdint>
#include <string>
#include <variant>

namespace jaydrift::schedule {

/// Effect: sends an order to a worker; one `worker_replied` with the same
/// number follows.
struct worker_call
{
    std::uint64_t call = 0;
    std::string worker;
    std::string address;

    /// The worker refuses tokens lower than the highest one that it has seen;
    /// see `fencing_tokens`.
    std::uint64_t token = 0;
    std::variant<hold_order, start_order, stop_order, pace_order> order;
    time_ms time_limit;
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_WORKER_CALL_HPP
