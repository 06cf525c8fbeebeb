#ifndef JAYDRIFT_SCHEDULE_WORKER_REQUESTS_HPP
#define JAYDRIFT_SCHEDULE_WORKER_REQUESTS_HPP

namespace jaydrift::schedule {

struct daemon_state;
struct shard_context;

/// Asks other shards for workers while tasks wait that the workers of this
/// shard cannot run.
namespace worker_requests {

/// Returns whether all daemons know of assignments of workers. Until then no
/// worker changes its shard: a daemon of an earlier release goes by the hash of
/// the ID alone.
bool supported_by_all(daemon_state const& state);

/// Searches for such tasks if that is due, and sends the requests.
void tick(shard_context& ctx);

} // namespace worker_requests

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_WORKER_REQUESTS_HPP
