#ifndef JAYDRIFT_SCHEDULE_OWNERSHIP_HPP
#define JAYDRIFT_SCHEDULE_OWNERSHIP_HPP

#include <cstdint>

namespace jaydrift::schedule {

struct shard_context;
struct heartbeat;
struct heartbeat_reply;
struct owner_query;
struct owner_record;
struct owner_query_reply;
struct store_item;
struct store_replied;
struct yield_request;

/// Ownership of a shard: detection of a dead owner, taking over, handing over
/// and stepping down.
namespace ownership {

/// Applies an owner record of the store. Ignores revisions that are not newer
/// than the known one.
void observe_record(shard_context& ctx, owner_record const& record,
                    std::uint64_t revision);

/// Applies a record of the shard's owner or roster. One that cannot be read is
/// replaced: it counts as that of an owner that is silent, or as an empty
/// roster.
void observe_item(shard_context& ctx, store_item const& item);

/// Ends this daemon's ownership: another daemon has taken over, a worker has
/// seen a higher fencing token, or the store refused a write of the record log
/// for its owner record or its write serial.
void step_down(shard_context& ctx);

/// Applies the owner and roster records because of which the store refused a
/// transaction.
void observe_conflict(shard_context& ctx, store_replied const& reply);

/// Handles the reply to the transaction that claims the owner record.
void claim_replied(shard_context& ctx, store_replied const& reply);

/// Handles the reply to a read of the write serial, which tells whether a
/// silent owner is alive.
void serial_replied(shard_context& ctx, store_replied const& reply);

/// Handles the reply to a read of the owner record. Ends a suspension if the
/// reply shows the record of this daemon. It is not checked that the store
/// answered after the suspension began.
void verify_replied(shard_context& ctx, store_replied const& reply);

/// Suspends the owner if no event came for so long that the process must have
/// been frozen: another daemon may have taken over meanwhile.
void suspend_after_standstill(shard_context& ctx);

/// Does what the present role requires, such as sending heartbeats or claiming
/// a shard whose owner is dead.
void tick(shard_context& ctx);

/// Handle messages of other daemons.
void received(shard_context& ctx, heartbeat const& message);
void received(shard_context& ctx, heartbeat_reply const& message);
void received(shard_context& ctx, owner_query const& message);
void received(shard_context& ctx, owner_query_reply const& message);
void received(shard_context& ctx, yield_request const& message);

} // namespace ownership

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_OWNERSHIP_HPP
