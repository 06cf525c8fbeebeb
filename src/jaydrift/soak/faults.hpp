#ifndef JAYDRIFT_SOAK_FAULTS_HPP
#define JAYDRIFT_SOAK_FAULTS_HPP

#include <jaydrift/core/time_ms.hpp>
#include <jaydrift/soak/effect.hpp>

namespace jaydrift::soak {

struct state;

/// Faults and planned changes, drawn at random and overlapping.
namespace faults {

/// Begins a fault if one is due.
void begin(state& s, time_ms now, effects& out);

/// Ends the faults whose time is over.
void tick(state& s, time_ms now, effects& out);

/// Ends all faults.
void end_all(state& s, time_ms now, effects& out);

} // namespace faults

} // namespace jaydrift::soak

#endif // JAYDRIFT_SOAK_FAULTS_HPP
