#ifndef JAYDRIFT_SCHEDULE_STORE_SESSION_HPP
#define JAYDRIFT_SCHEDULE_STORE_SESSION_HPP

#include <jaydrift/core/time_ms.hpp>
#include <jaydrift/schedule/store_call.hpp>
#include <jaydrift/schedule/store_purpose.hpp>

#include <cstdint>

namespace jaydrift::schedule {

struct context;
struct shard_context;
struct daemon_state;
struct store_replied;

/// Calls to the store: keeps the areas read and watched, and passes each reply
/// to the part that asked.
namespace store_session {

using request = decltype(store_call::request);

/// Calls the store and records the purpose. Returns the number of the call.
std::uint64_t call(context& ctx, store_purpose purpose, request what,
                   time_ms time_limit);

/// As above, for one shard.
std::uint64_t call(shard_context& ctx, store_purpose purpose, request what,
                   time_ms time_limit);

/// Returns the time limit of a call that has failed `failures` times in a row:
/// `limit`, doubled for each of the first failures. A large reply on a
/// saturated link may take longer than usual, and a repeated request with the
/// same limit would only add to the load. Calls that the store has swallowed
/// end sooner, see `silent_calls`.
time_ms extended_time_limit(time_ms limit, std::uint32_t failures);

/// Handles the end of a call.
void replied(context& ctx, store_replied const& reply);

/// Starts the calls that are due.
void tick(context& ctx);

/// Returns whether the store has answered recently and no call has failed
/// since. No decision uses this: how an owner acts in an outage of the store
/// depends on the limits in ownership.cpp, roster.cpp, heartbeats.cpp and
/// calls.cpp.
bool reachable(daemon_state const& state, time_ms now);

} // namespace store_session

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_STORE_SESSION_HPP
