#ifndef JAYDRIFT_SCHEDULE_ROOM_REQUESTS_HPP
#define JAYDRIFT_SCHEDULE_ROOM_REQUESTS_HPP

namespace jaydrift::schedule {

struct room_refusal;
struct room_request;
struct shard_context;

/// Asks other shards for room for long-running tasks that find none here, and
/// offers room to tasks of other shards.
namespace room_requests {

/// Offers room on workers of this shard, which are kept for the tasks for a
/// short time.
void received(shard_context& ctx, room_request const& request);

/// Releases workers whose room is not needed.
void refused(shard_context& ctx, room_refusal const& refusal);

/// Searches for such tasks if that is due, and sends the requests.
void tick(shard_context& ctx);

} // namespace room_requests

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_ROOM_REQUESTS_HPP
