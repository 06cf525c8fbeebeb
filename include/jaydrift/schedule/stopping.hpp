#ifndef JAYDRIFT_SCHEDULE_STOPPING_HPP
#define JAYDRIFT_SCHEDULE_STOPPING_HPP

namespace jaydrift::schedule {

struct context;

/// Graceful stop of the process: before the exit, connections close, shards are
/// handed over to peers and open calls are answered. If no peer can take a
/// shard over, the process exits at the deadline and still holds it. Calls that
/// are not done shortly before the deadline are answered as unavailable or
/// unknown.
namespace stopping {

/// Handles a stop request. Further ones have no effect.
void requested(context& ctx);

/// Before a stop request, reports whether the daemon is ready; after one, takes
/// the steps of the stop that are due.
void tick(context& ctx);

} // namespace stopping

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_STOPPING_HPP
