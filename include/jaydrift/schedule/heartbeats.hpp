#ifndef JAYDRIFT_SCHEDULE_HEARTBEATS_HPP
#define JAYDRIFT_SCHEDULE_HEARTBEATS_HPP

namespace jaydrift::schedule {

struct shard_context;

/// What an owner tells other daemons regularly: that it lives, and its load.
namespace heartbeats {

/// Sends the heartbeats that are due.
void send(shard_context& ctx);

/// Tells the owners of other shards of the load, if it has grown much.
void announce_load(shard_context& ctx);

} // namespace heartbeats

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_HEARTBEATS_HPP
