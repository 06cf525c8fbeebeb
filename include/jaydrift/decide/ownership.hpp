#ifndef JAYDRIFT_DECIDE_OWNERSHIP_HPP
#define JAYDRIFT_DECIDE_OWNERSHIP_HPP

#include <jaydrift/core/hand_over_request.hpp>
#include <jaydrift/core/owned_shard.hpp>
#include <jaydrift/core/ownership_term.hpp>
#include <jaydrift/core/shard_id.hpp>
#include <jaydrift/core/shard_status.hpp>
#include <jaydrift/decide/event.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jaydrift::decide {

struct context;
struct daemon_state;

/// Takes over shards, renews this daemon's authority over them, hands them over
/// and gives them up.
namespace ownership {

void on_timer(context& ctx);
void on_store_replied(context& ctx, store_replied const& event);
void on_store_failed(context& ctx, store_failed const& event);
void on_worker_replied(context& ctx, worker_replied const& event);
void on_worker_failed(context& ctx, worker_failed const& event);
void on_peer_replied(context& ctx, peer_replied const& event);
void on_peer_failed(context& ctx, peer_failed const& event);
void on_hand_over(context& ctx, peer_called const& call,
                  hand_over_request const& request);

/// Handles the epoch of a shard that a worker's refusal, a heartbeat or the
/// journal shows. This daemon gives the shard up if its own epoch is lower.
void on_epoch_seen(context& ctx, shard_id const& shard, std::uint64_t epoch);

/// Starts to hand over all shards, for a planned stop. Shards that are still
/// being taken over are given up.
void release_all(context& ctx);

/// Tells whether this daemon has no shard left after `release_all`.
bool all_released(daemon_state const& state);

/// Returns every shard of the deployment.
std::vector<shard_id> all_shards(daemon_state const& state);

/// Returns the shard that a request ID or job ID belongs to.
shard_id shard_of_key(daemon_state const& state, std::string_view region,
                      std::string_view key);

/// Returns the shard that a worker belongs to.
shard_id shard_of_worker(daemon_state const& state, std::string_view region,
                         std::string_view worker);

/// Returns the daemon to send requests for a shard to: the owner as far as this
/// daemon knows, or else the daemon that should become the owner.
std::optional<std::string> owner_of(daemon_state const& state,
                                    shard_id const& shard);

/// Tells whether this daemon owns the shard with valid authority.
bool serving(daemon_state const& state, shard_id const& shard, time_ms now);

/// Returns this daemon's term for a shard; epoch 0 if it has none.
ownership_term term(daemon_state const& state, shard_id const& shard);

/// Tells whether this daemon may start work on a worker now: it serves the
/// worker's shard, the worker is fenced by it, and its clock is known.
bool may_start(daemon_state const& state, std::string_view worker, time_ms now);

/// Returns the latest start, in the worker's clock, that the daemon's authority
/// allows. @pre `may_start`
time_ms start_deadline(daemon_state const& state, std::string_view worker);

/// Returns when this daemon acquired the shard; 0 if it has not.
time_ms acquired_at(daemon_state const& state, shard_id const& shard);

/// Tells whether every worker of the shard has reported its tasks to this
/// daemon. If not, a request with an unknown ID that was issued before
/// `acquired_at` may have run already.
bool inventory_complete(daemon_state const& state, shard_id const& shard);

/// Tells whether the reported tasks name every request ID that an earlier owner
/// may have started: the inventory is complete, and no worker had restarted or
/// gone within `request_retention` before the shard was acquired. Always true
/// in the first epoch, before which there was no owner.
bool request_inventory_complete(daemon_state const& state,
                                shard_id const& shard);

/// Returns the shards over which this daemon has valid authority, with the
/// policy version that is in force there.
std::vector<owned_shard> owned_shards(daemon_state const& state, time_ms now);

std::vector<shard_status> status(daemon_state const& state, time_ms now);

/// Returns when `on_timer` is next due.
time_ms next_timer(daemon_state const& state);

} // namespace ownership

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_OWNERSHIP_HPP
