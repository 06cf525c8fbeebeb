#ifndef JAYDRIFT_DECIDE_POLICY_HPP
#define JAYDRIFT_DECIDE_POLICY_HPP

#include <jaydrift/core/kind_policy.hpp>
#include <jaydrift/core/policy_document.hpp>
#include <jaydrift/core/policy_update.hpp>
#include <jaydrift/core/task_class.hpp>
#include <jaydrift/decide/event.hpp>

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace jaydrift::decide {

struct context;
struct daemon_state;

/// Applies, undoes and distributes the operators' policy.
namespace policy {

void on_timer(context& ctx);
void on_operator_called(context& ctx, operator_called const& call);
void on_policy_update(context& ctx, peer_called const& call,
                      policy_update const& update);
void on_store_replied(context& ctx, store_replied const& event);
void on_store_failed(context& ctx, store_failed const& event);
void on_peer_replied(context& ctx, peer_replied const& event);
void on_peer_failed(context& ctx, peer_failed const& event);

/// Applies the zone closes in another daemon's heartbeat that are not durable
/// yet; see `early_close`.
void on_early_closed(context& ctx, std::span<std::string const> zones);

/// Returns the policy version that this daemon applies, or 0 if it knows none.
std::uint64_t version(daemon_state const& state);
policy_document const& current(daemon_state const& state);

/// Tells whether work may start in an availability zone. A zone that the
/// policy does not name is closed.
bool zone_open(daemon_state const& state, std::string_view zone);

/// Returns the policy of a kind, or null if the policy does not name it.
kind_policy const* find_kind(daemon_state const& state, std::string_view kind);

/// Returns the largest share of a VM that a class may reserve, in percent.
std::uint32_t share(daemon_state const& state, task_class priority);

/// Returns the closes that are applied before they are durable, encoded for
/// heartbeats.
std::vector<std::string> early_closed(daemon_state const& state);

/// Returns when `on_timer` is next due.
time_ms next_timer(daemon_state const& state);

} // namespace policy

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_POLICY_HPP
