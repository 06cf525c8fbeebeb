#ifndef JAYDRIFT_SOAK_SILENT_STORE_HPP
#define JAYDRIFT_SOAK_SILENT_STORE_HPP

#include <jaydrift/core/time_ms.hpp>
#include <jaydrift/soak/effect.hpp>

namespace jaydrift::soak {

struct soak_state;

/// A store that falls silent for a time and returns: calls that wait or arrive
/// meanwhile are never answered, and their connections stay open.
namespace silent_store {

/// Runs the phase `silent_store`, in which there are no other faults. When the
/// store returns, the configuration changes and workers drain, which all
/// daemons must know in time. Returns true at its end.
bool run(soak_state& state, time_ms now, effect_list& effects);

} // namespace silent_store

} // namespace jaydrift::soak

#endif // JAYDRIFT_SOAK_SILENT_STORE_HPP
