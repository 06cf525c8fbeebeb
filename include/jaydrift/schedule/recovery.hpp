#ifndef JAYDRIFT_SCHEDULE_RECOVERY_HPP
#define JAYDRIFT_SCHEDULE_RECOVERY_HPP

namespace jaydrift::schedule {

struct shard_context;
struct store_replied;

/// Recovery of a shard by its new owner, which reads the submissions and fences
/// the workers before it starts or stops tasks.
namespace recovery {

/// Starts to read what the store holds of the shard.
void begin(shard_context& ctx);

/// Discards everything that only the owner keeps of the shard.
void discard_state(shard_context& ctx);

/// Handles the reply to the read of the submissions.
void submissions_read(shard_context& ctx, store_replied const& reply);

/// Handles the reply to the read of the assignments.
void assignments_read(shard_context& ctx, store_replied const& reply);

/// Reads again after a failure, and starts to serve once the workers are fenced
/// or have had time to answer.
void tick(shard_context& ctx);

/// Returns whether an earlier owner may have started tasks on a worker that has
/// not answered this one yet.
bool any_worker_unaccounted(shard_context const& ctx);

} // namespace recovery

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_RECOVERY_HPP
