#ifndef JAYDRIFT_SOAK_SCALE_IN_HPP
#define JAYDRIFT_SOAK_SCALE_IN_HPP

#include <jaydrift/core/time_ms.hpp>
#include <jaydrift/soak/effect.hpp>

#include <cstddef>

namespace jaydrift {

class random_source;

namespace soak {

struct soak_state;

/// Workers that drain and leave, and congested links from daemons to the store.
/// They draw from a random source of their own, so that the other faults of a
/// seed stay the same.
namespace scale_in {

/// Lets a share of the workers drain until `leave`.
void drain_workers(soak_state& state, random_source& random, time_ms leave,
                   time_ms now, effect_list& effects);

/// Begins a scale-in or congests a link if one is due.
void begin(soak_state& state, time_ms now, effect_list& effects);

/// Lets draining workers leave when their time has come. They start again
/// later.
void tick(soak_state& state, time_ms now, effect_list& effects);

/// Continues the scale-in that follows the other faults: all links to the store
/// are congested for a while, and workers drain soon after.
/// Returns true when it is over.
bool run(soak_state& state, time_ms now, effect_list& effects);

/// Reports a start on a worker that has been draining for longer than the users
/// allow.
void check_start(soak_state& state, std::size_t worker, time_ms now);

} // namespace scale_in

} // namespace soak

} // namespace jaydrift

#endif // JAYDRIFT_SOAK_SCALE_IN_HPP
