#ifndef JAYDRIFT_SCHEDULE_HOLD_ORDER_HPP
#define JAYDRIFT_SCHEDULE_HOLD_ORDER_HPP

#include <jaydrift/core/time_ms.hpp>

#include <cstdint>
#include <optional>

namespace jaydrift::schedule {

/// Extends the lease of a worker and asks what runs and what has ended there.
struct hold_order
{
    /// End of the lease on the worker's clock; absent to only look and fence.
    std::optional<time_ms> lease_until;

    /// The worker forgets ends up to this number.
    std::uint64_t acknowledged_end = 0;

    /// The worker answers earlier than this only if a task ends.
    time_ms wait;
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_HOLD_ORDER_HPP
