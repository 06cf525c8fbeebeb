#ifndef JAYDRIFT_SOAK_STAND_INS_HPP
#define JAYDRIFT_SOAK_STAND_INS_HPP

#include <jaydrift/core/time_ms.hpp>
#include <jaydrift/soak/effect.hpp>

#include <cstddef>

namespace jaydrift::soak {

struct request_arrived;
struct state;

/// The platform's side of a run: the store and the workers.
namespace stand_ins {

/// Answers a daemon's request, now, later or never.
void arrived(state& s, request_arrived const& input, time_ms now, effects& out);

/// Answers what has waited long enough, and ends runs.
void tick(state& s, time_ms now, effects& out);

void crash_worker(state& s, std::size_t worker, time_ms until);
void list_worker(state& s, std::size_t worker);

/// Writes the configuration in force.
void write_configuration(state& s);

} // namespace stand_ins

} // namespace jaydrift::soak

#endif // JAYDRIFT_SOAK_STAND_INS_HPP
