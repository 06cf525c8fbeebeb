#ifndef JAYDRIFT_DECIDE_POLICY_DISTRIBUTION_HPP
#define JAYDRIFT_DECIDE_POLICY_DISTRIBUTION_HPP

#include <jaydrift/core/shard_id.hpp>
#include <jaydrift/decide/event.hpp>
#include <jaydrift/decide/policy_record.hpp>

#include <cstdint>
#include <vector>

namespace jaydrift::decide {

struct context;
struct daemon_state;

/// Distributes each policy version to every daemon: one daemon per region
/// watches the store, and daemons send the version to those that are behind.
namespace policy_distribution {

/// Applies a policy record unless its version is older than the known one.
/// `revision` is that of the store's key, or 0 if it is not known.
void adopt(context& ctx, policy_record record, std::uint64_t revision);

/// Sends the current version to the own region's daemons and to one daemon of
/// each other region, which relays it.
void send_to_members(context& ctx);

/// Sends the current version to the own region's daemons.
void send_to_region(context& ctx);
void on_timer(context& ctx);
void on_store_replied(context& ctx, store_replied const& event);
void on_store_failed(context& ctx, store_failed const& event);

/// Returns the shards that have workers and whose owner has not acknowledged a
/// version.
std::vector<shard_id> unacknowledged_shards(daemon_state const& state,
                                            std::uint64_t version, time_ms now);

/// Returns when `on_timer` is next due.
time_ms next_timer(daemon_state const& state);

} // namespace policy_distribution

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_POLICY_DISTRIBUTION_HPP
