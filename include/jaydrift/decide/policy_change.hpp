#ifndef JAYDRIFT_DECIDE_POLICY_CHANGE_HPP
#define JAYDRIFT_DECIDE_POLICY_CHANGE_HPP

#include <jaydrift/core/set_zone.hpp>
#include <jaydrift/decide/event.hpp>

#include <cstdint>
#include <optional>

namespace jaydrift::decide {

struct context;
struct daemon_state;

/// Carries out the operators' changes: read, compare-and-swap, distribute, and
/// wait until the change is in force.
namespace policy_change {

/// Starts a change. `call` is absent for a close that an operator requested
/// from another daemon.
void start(context& ctx, std::optional<std::uint64_t> call,
           operator_request const& request);
void on_timer(context& ctx);

/// Handles a store reply; returns false if it belongs to no change.
bool on_store_replied(context& ctx, store_replied const& event);
bool on_store_failed(context& ctx, store_failed const& event);

/// Returns when `on_timer` is next due.
time_ms next_timer(daemon_state const& state);

} // namespace policy_change

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_POLICY_CHANGE_HPP
