#ifndef JAYDRIFT_SCHEDULE_WORKER_TRANSFERS_HPP
#define JAYDRIFT_SCHEDULE_WORKER_TRANSFERS_HPP

namespace jaydrift::schedule {

struct shard_context;
struct store_replied;
struct worker_request;

/// Gives workers to shards that ask for them, one at a time. The worker is
/// emptied first. Then one transaction assigns it, which succeeds only while
/// both shards have the same owners as before. So a worker belongs to one shard
/// at any time, whichever owner fails meanwhile.
namespace worker_transfers {

/// Begins a transfer if a worker can be spared.
void received(shard_context& ctx, worker_request const& request);

/// Handles the reply to the transaction.
void replied(shard_context& ctx, store_replied const& reply);

/// Empties the worker, sends or repeats the transaction, or gives the transfer
/// up.
void tick(shard_context& ctx);

} // namespace worker_transfers

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_WORKER_TRANSFERS_HPP
