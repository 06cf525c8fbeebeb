#ifndef JAYDRIFT_DECIDE_FORWARD_STEPS_HPP
#define JAYDRIFT_DECIDE_FORWARD_STEPS_HPP

#include <jaydrift/core/time_ms.hpp>
#include <jaydrift/decide/forward_entry.hpp>

#include <cstdint>

namespace jaydrift::decide {

struct context;
struct daemon_state;

// Functions that the source files of forwarding share. A forward whose number
// is passed must exist.
namespace requests {

/// How often an open call is checked against a change of the owner.
inline constexpr time_ms owner_check_interval{250};

/// Sets when a forward is next due, at the latest at the waiter's deadline.
void schedule_forward(daemon_state& state, std::uint64_t number,
                      forward_entry& entry, time_ms due);

/// Closes the open call of a forward, so that its reply is dropped.
void close_call(daemon_state& state, forward_entry& entry);

/// Removes a forward from the table and returns it.
forward_entry take_forward(daemon_state& state, std::uint64_t number);

/// Sends a forward to the current owner of the shard, or handles it here if
/// this daemon is the owner.
void attempt_forward(context& ctx, std::uint64_t number);

/// Closes the call and makes the next attempt after a random delay.
void retry_forward_later(context& ctx, std::uint64_t number);

} // namespace requests

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_FORWARD_STEPS_HPP
