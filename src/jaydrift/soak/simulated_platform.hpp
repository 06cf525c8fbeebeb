#ifndef JAYDRIFT_SOAK_SIMULATED_PLATFORM_HPP
#define JAYDRIFT_SOAK_SIMULATED_PLATFORM_HPP

#include <jaydrift/core/time_ms.hpp>
#include <jaydrift/soak/effect.hpp>

#include <cstddef>

namespace jaydrift::soak {

struct request_arrived;
struct soak_state;

/// The simulated platform of a run: the store and the workers that the daemons
/// call.
namespace simulated_platform {

/// Handles a daemon's request. The faults in force decide whether it is
/// answered now, later or never.
void arrived(soak_state& state, request_arrived const& input, time_ms now,
             effect_list& effects);

/// Answers waiting requests that are due, and ends runs on the workers.
void tick(soak_state& state, time_ms now, effect_list& effects);

/// Crashes a worker that is up, until it restarts at `until`.
void crash_worker(soak_state& state, std::size_t worker, time_ms until);

/// Starts the process of a worker again. That of the only worker of its kind
/// registers as another worker.
void restart_worker(soak_state& state, std::size_t worker, time_ms now);

/// Writes the worker's record to the store.
void publish_worker(soak_state& state, std::size_t worker);

/// Writes the configuration of the present version to the store.
void write_configuration(soak_state& state);

} // namespace simulated_platform

} // namespace jaydrift::soak

#endif // JAYDRIFT_SOAK_SIMULATED_PLATFORM_HPP
