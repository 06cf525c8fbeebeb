#ifndef JAYDRIFT_SOAK_LATE_ORDERS_HPP
#define JAYDRIFT_SOAK_LATE_ORDERS_HPP

#include <jaydrift/core/time_ms.hpp>
#include <jaydrift/soak/effect.hpp>

#include <optional>

namespace jaydrift::soak {

struct soak_state;

/// Orders that reach a later process of their worker. In each round the workers
/// of a zone crash, start again under their IDs and are cut off from the
/// daemons soon after, while long tasks run and a share of the orders is
/// carried out late. Rounds may overlap, and some kill the owner of a shard.
namespace late_orders {

/// Runs the phase `late_orders`. Returns true at its end.
bool run(soak_state& state, time_ms now, effect_list& effects);

/// Returns when an order that arrives now is to be carried out, if it is held
/// back.
std::optional<time_ms> due_time(soak_state& state, bool is_hold, time_ms now);

} // namespace late_orders

} // namespace jaydrift::soak

#endif // JAYDRIFT_SOAK_LATE_ORDERS_HPP
