#ifndef JAYDRIFT_SOAK_LARGE_CONFIGURATION_HPP
#define JAYDRIFT_SOAK_LARGE_CONFIGURATION_HPP

#include <jaydrift/core/time_ms.hpp>
#include <jaydrift/soak/effect.hpp>

namespace jaydrift::soak {

struct soak_state;

/// A large configuration that changes often, and a link to the store that the
/// daemons of one region share.
namespace large_configuration {

/// Runs the phase `large_configuration`, in which there are no faults. All
/// daemons must know the last change in time. Returns true at its end.
bool run(soak_state& state, time_ms now, effect_list& effects);

} // namespace large_configuration

} // namespace jaydrift::soak

#endif // JAYDRIFT_SOAK_LARGE_CONFIGURATION_HPP
