#ifndef JAYDRIFT_SCHEDULE_START_FLOW_HPP
#define JAYDRIFT_SCHEDULE_START_FLOW_HPP

#include <cstdint>
#include <string_view>

namespace jaydrift::schedule {

struct context;
struct pending_worker_call;
struct shard_context;
struct start_order;
struct worker_replied;

/// Paces start orders, the largest part of what an owner sends, so that
/// heartbeats, stops and transactions do not wait behind a burst of them. A
/// task that is held back keeps its rank and has no worker yet.
namespace start_flow {

/// Returns the bytes that a start order takes on the link.
std::int64_t size_of(start_order const& order);

/// Returns whether a task may start now. If not, the next pass comes when
/// replies have made room.
bool may_start(shard_context& ctx);

/// An order of `bytes` was sent; 0 for orders that are not paced.
void sent(context& ctx, std::int64_t bytes);

/// The call of an order has ended.
void ended(context& ctx, pending_worker_call const& call,
           worker_replied const& reply);

/// Forgets the orders in flight of a shard that this daemon has lost.
void forget(shard_context& ctx);

/// The same of a worker that has left the shard.
void forget(shard_context& ctx, std::string_view worker);

/// Sets the gauges.
void tick(context& ctx);

} // namespace start_flow

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_START_FLOW_HPP
