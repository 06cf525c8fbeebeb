#ifndef JAYDRIFT_SCHEDULE_WORKER_REQUESTS_HPP
#define JAYDRIFT_SCHEDULE_WORKER_REQUESTS_HPP

#include <vector>

namespace jaydrift::schedule {

struct daemon_state;
struct shard_context;
struct shard_state;

/// Asks other shards for workers while tasks wait that the workers of this
/// shard cannot run.
namespace worker_requests {

/// Returns whether all daemons know of assignments of workers. Until then no
/// worker changes its shard: a daemon of an earlier release goes by the hash of
/// the ID alone.
bool supported_by_all(daemon_state const& state);

/// Returns the other shards that have an owner, those with the least
/// long-running work first.
std::vector<shard_state*> other_shards(shard_context& ctx);

/// Searches for such tasks if that is due, and sends the requests.
void tick(shard_context& ctx);

} // namespace worker_requests

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_WORKER_REQUESTS_HPP
