#ifndef JAYDRIFT_SOAK_CALLERS_HPP
#define JAYDRIFT_SOAK_CALLERS_HPP

#include <jaydrift/core/time_ms.hpp>
#include <jaydrift/soak/effect.hpp>

namespace jaydrift::soak {

struct call_ended;
struct state;

/// Callers that hand submissions in, ask for them and cancel them.
namespace callers {

/// Sends the calls that are due.
void tick(state& s, time_ms now, effects& out);

/// Asks for the state of each submission that has not ended.
void ask_for_all(state& s, time_ms now, effects& out);

/// Cancels each long-running submission.
void cancel_all(state& s, time_ms now, effects& out);

void ended(state& s, call_ended const& input, time_ms now, effects& out);

} // namespace callers

} // namespace jaydrift::soak

#endif // JAYDRIFT_SOAK_CALLERS_HPP
