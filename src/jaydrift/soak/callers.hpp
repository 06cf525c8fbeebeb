#ifndef JAYDRIFT_SOAK_CALLERS_HPP
#define JAYDRIFT_SOAK_CALLERS_HPP

#include <jaydrift/core/time_ms.hpp>
#include <jaydrift/soak/effect.hpp>

#include <cstdint>
#include <string>

namespace jaydrift::soak {

struct call_ended;
struct soak_state;

/// Callers that submit work, query its state and cancel it.
namespace callers {

/// If a submission is due, submits new work, queries and at times cancels a
/// random submission, and probes whether a removed queue is still served.
void tick(soak_state& state, time_ms now, effect_list& effects);

/// Asks every daemon for the count of the queue "extra", which tells whether
/// the daemon knows that the queue was added or removed.
void probe_extra_queue(soak_state& state, time_ms now, effect_list& effects);

/// Submits one step of small tasks.
void submit_tasks(soak_state& state, std::uint32_t count, time_ms run_time,
                  time_ms now, effect_list& effects);

/// Submits enough small serving tasks for each of a few dozen workers to get
/// one.
void submit_serving(soak_state& state, time_ms now, effect_list& effects);

/// Submits opportunistic work, as much as there are workers.
void submit_opportunistic(soak_state& state, time_ms now, effect_list& effects);

/// Submits one step of small tasks of a second each. Returns its ID.
std::string submit_short_tasks(soak_state& state, std::uint32_t count,
                               time_ms now, effect_list& effects);

/// Queries the state of each accepted submission that has not ended.
void query_all(soak_state& state, time_ms now, effect_list& effects);

/// Cancels each accepted long-running submission.
void cancel_all(soak_state& state, time_ms now, effect_list& effects);

/// Checks the result of a call. Retries a submission or cancel that got no
/// answer, and a submission that got an unexpected status.
void ended(soak_state& state, call_ended const& input, time_ms now,
           effect_list& effects);

} // namespace callers

} // namespace jaydrift::soak

#endif // JAYDRIFT_SOAK_CALLERS_HPP
