#ifndef JAYDRIFT_SOAK_FAULTS_HPP
#define JAYDRIFT_SOAK_FAULTS_HPP

#include <jaydrift/core/time_ms.hpp>
#include <jaydrift/soak/effect.hpp>

#include <cstddef>

namespace jaydrift::soak {

struct soak_state;

/// Faults and planned changes of the configuration and of zones. They are drawn
/// at random and may overlap.
namespace faults {

/// Begins a random fault or change if one is due.
void begin(soak_state& state, time_ms now, effect_list& effects);

/// Writes the next version of the configuration, with or without the queue
/// "extra".
void change_configuration(soak_state& state, time_ms now, effect_list& effects);

/// Sends SIGKILL to a daemon that runs.
void kill(soak_state& state, std::size_t daemon, effect_list& effects);

/// Lets serving tasks report tail latencies near their targets, whatever runs
/// beside them.
void raise_tails(soak_state& state, time_ms until, time_ms now,
                 effect_list& effects);

/// Ends the faults whose time is over, starts daemons that are due, and kills
/// those that did not stop in time.
void tick(soak_state& state, time_ms now, effect_list& effects);

/// Ends all faults at once, except high tail latencies. An evacuated zone stays
/// so until its time is over.
void end_all(soak_state& state, time_ms now, effect_list& effects);

} // namespace faults

} // namespace jaydrift::soak

#endif // JAYDRIFT_SOAK_FAULTS_HPP
