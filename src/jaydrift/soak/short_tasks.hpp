#ifndef JAYDRIFT_SOAK_SHORT_TASKS_HPP
#define JAYDRIFT_SOAK_SHORT_TASKS_HPP

#include <jaydrift/core/time_ms.hpp>
#include <jaydrift/soak/effect.hpp>

namespace jaydrift::soak {

struct soak_state;

/// Many short tasks that end while the store is silent, so that no end can be
/// acknowledged and workers have more of them than one reply holds.
namespace short_tasks {

/// Submits as many tasks as the settings say, on the first call.
void submit(soak_state& state, time_ms now, effect_list& effects);

/// Prints the most ends that a worker has and that are not acknowledged.
void report_ends(soak_state const& state, time_ms now, effect_list& effects);

/// From now on tasks may start again after they were done, since workers leave
/// with ends that nobody has acknowledged.
void allow_restarts(soak_state& state);

} // namespace short_tasks

} // namespace jaydrift::soak

#endif // JAYDRIFT_SOAK_SHORT_TASKS_HPP
