#ifndef JAYDRIFT_DECIDE_HAND_OVER_HPP
#define JAYDRIFT_DECIDE_HAND_OVER_HPP

#include <jaydrift/core/time_ms.hpp>

namespace jaydrift::decide {

struct context;
struct peer_failed;
struct peer_replied;
struct shard_view;

/// Hands shards over to other daemons.
namespace hand_over {

/// Starts a hand-over: the shard takes no new work from here on.
void release(context& ctx, shard_view& view);

/// Sends a shard that is being released to its successor once no request is
/// open, or once requests have had 5 s to finish.
void advance(context& ctx, shard_view& view);

/// Starts to move at most one shard to a daemon that has ranked better for it
/// for a while.
void rebalance(context& ctx);

} // namespace hand_over

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_HAND_OVER_HPP
