#ifndef JAYDRIFT_SCHEDULE_ROSTER_HPP
#define JAYDRIFT_SCHEDULE_ROSTER_HPP

#include <cstdint>

namespace jaydrift::schedule {

struct roster_record;
struct shard_context;
struct store_replied;

/// The roster of a shard: the daemons that may take over as soon as its owner
/// is dead or asks them. Others claim the shard only after a long silence of
/// the owner.
namespace roster {

/// Applies a roster of the store. Ignores revisions that are not newer than the
/// known one.
void observe(shard_context& ctx, roster_record const& record,
             std::uint64_t revision);

/// Handles the reply to a write of the roster.
void replied(shard_context& ctx, store_replied const& reply);

/// Writes a new roster if members that answer the owner are missing in it, or
/// members that do not are still in it.
void update(shard_context& ctx);

/// Returns whether a network partition may separate the owner from the store
/// and from a daemon that may take over: neither has answered. That daemon may
/// reach the store and have taken over.
bool may_be_partitioned(shard_context const& ctx);

/// Removes the record of a member that has not answered for long, one in each
/// call.
void remove_dead_members(shard_context& ctx);

} // namespace roster

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_ROSTER_HPP
