#ifndef JAYDRIFT_DECIDE_MEMBERSHIP_HPP
#define JAYDRIFT_DECIDE_MEMBERSHIP_HPP

#include <jaydrift/core/heartbeat.hpp>
#include <jaydrift/core/member_info.hpp>
#include <jaydrift/core/member_status.hpp>
#include <jaydrift/decide/event.hpp>

#include <optional>
#include <string_view>
#include <vector>

namespace jaydrift::decide {

struct context;
struct daemon_state;

/// Keeps the list of the other daemons, exchanges heartbeats with them, keeps
/// this daemon's key in the store and observes whether the store replies.
namespace membership {

void on_timer(context& ctx);
void on_heartbeat(context& ctx, peer_called const& call,
                  heartbeat const& message);
void on_peer_replied(context& ctx, peer_replied const& event);
void on_peer_failed(context& ctx, peer_failed const& event);
void on_store_replied(context& ctx, store_replied const& event);
void on_store_failed(context& ctx, store_failed const& event);

/// Returns the address and place of a daemon; nothing if it is unknown.
std::optional<member_info> find(daemon_state const& state,
                                std::string_view daemon);

/// Returns the live daemons that have not begun a planned stop, including this
/// one unless it has.
std::vector<member_info> live_members(daemon_state const& state, time_ms now);

/// Tells whether a heartbeat of the daemon arrived within `suspect_after`. This
/// daemon is always live.
bool live(daemon_state const& state, std::string_view daemon, time_ms now);

/// Returns the last heartbeat of another daemon, or null if none has arrived.
/// The pointer is valid until the next event.
heartbeat const* last_heartbeat(daemon_state const& state,
                                std::string_view daemon);

/// Tells whether the last call of this module to the store was replied to,
/// where a watch that was sent and failed does not count as a call. The time is
/// not used.
bool store_available(daemon_state const& state, time_ms now);

/// Tells whether the store has replied without a failure for at least
/// `duration`.
bool store_available_for(daemon_state const& state, time_ms now,
                         time_ms duration);

std::vector<member_status> status(daemon_state const& state, time_ms now);

/// Returns when `on_timer` is next due.
time_ms next_timer(daemon_state const& state);

} // namespace membership

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_MEMBERSHIP_HPP
