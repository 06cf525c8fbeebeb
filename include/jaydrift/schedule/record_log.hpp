#ifndef JAYDRIFT_SCHEDULE_RECORD_LOG_HPP
#define JAYDRIFT_SCHEDULE_RECORD_LOG_HPP

#include <string>

namespace jaydrift::schedule {

struct shard_context;
struct store_replied;
struct submission_state;

/// Stores submissions, their progress and the other records of a shard, one
/// transaction after the other. Each record has a key and is overwritten; there
/// is no append-only log. Each transaction requires that this daemon still owns
/// the shard.
namespace record_log {

/// Increments the version of a submission that has changed, and plans to store
/// it.
void changed(shard_context& ctx, submission_state& submission);

/// As `changed`, but a caller waits until the change is stored.
void changed_with_waiting_caller(shard_context& ctx,
                                 submission_state& submission);

/// Plans to store the fleet record, since a worker has come or gone or has
/// another address.
void fleet_changed(shard_context& ctx);

/// Sends the next transaction soon, since a caller waits for it.
void flush_soon(shard_context& ctx);

/// Handles the reply to a transaction.
void replied(shard_context& ctx, store_replied const& reply);

/// Sends or repeats the transaction that is due.
void tick(shard_context& ctx);

} // namespace record_log

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_RECORD_LOG_HPP
