#ifndef JAYDRIFT_SOAK_WAITING_CHECK_HPP
#define JAYDRIFT_SOAK_WAITING_CHECK_HPP

#include <jaydrift/core/time_ms.hpp>

namespace jaydrift::soak {

struct soak_state;

/// Checks that ready work does not wait without bound.
namespace waiting_check {

/// Once the daemons have recovered from the last fault, reports each accepted
/// submission that nobody cancelled and that has nothing running for too long,
/// though the workers have room.
void tick(soak_state& state, time_ms now);

} // namespace waiting_check

} // namespace jaydrift::soak

#endif // JAYDRIFT_SOAK_WAITING_CHECK_HPP
