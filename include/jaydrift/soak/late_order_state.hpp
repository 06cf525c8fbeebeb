#ifndef JAYDRIFT_SOAK_LATE_ORDER_STATE_HPP
#define JAYDRIFT_SOAK_LATE_ORDER_STATE_HPP

#include <jaydrift/core/random.hpp>
#include <jaydrift/core/time_ms.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace jaydrift::soak {

/// State of the phase `late_orders`.
struct late_order_state
{
    random_source random;

    /// Drawn from at each order, so that the rounds do not depend on how many
    /// there are.
    random_source order_random;

    /// Share of the orders that are held back, left unanswered and carried out
    /// seconds later.
    std::uint64_t percent = 0;
    time_ms next_round;
    time_ms next_submission;
    time_ms next_other_submission;

    /// When each worker that has crashed in a round is cut off.
    std::map<std::size_t, time_ms> cuts;

    /// When the owner of a shard is killed.
    std::optional<time_ms> owner_kill;
};

} // namespace jaydrift::soak

#endif // JAYDRIFT_SOAK_LATE_ORDER_STATE_HPP
