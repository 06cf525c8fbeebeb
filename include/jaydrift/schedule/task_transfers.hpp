#ifndef JAYDRIFT_SCHEDULE_TASK_TRANSFERS_HPP
#define JAYDRIFT_SCHEDULE_TASK_TRANSFERS_HPP

#include <cstdint>

namespace jaydrift::schedule {

struct room_offer;
struct shard_context;
struct store_replied;
struct submission_state;

/// Assigns waiting long-running tasks to shards that have offered room for
/// them. One transaction assigns the tasks of an offer, which succeeds only
/// while both shards have the same owners as before; so each task belongs to
/// one shard at any time, whichever owner fails meanwhile.
namespace task_transfers {

/// Returns whether tasks of the step may be assigned to other shards while they
/// have no run.
bool may_move(submission_state const& submission, std::uint32_t step);

/// Begins a transfer to the offering shard, or plans it if one is in progress.
void offered(shard_context& ctx, room_offer const& offer);

/// Handles the reply to the transaction.
void replied(shard_context& ctx, store_replied const& reply);

/// Sends the transaction again, or begins the next transfer.
void tick(shard_context& ctx);

} // namespace task_transfers

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_TASK_TRANSFERS_HPP
