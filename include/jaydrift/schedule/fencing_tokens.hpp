#ifndef JAYDRIFT_SCHEDULE_FENCING_TOKENS_HPP
#define JAYDRIFT_SCHEDULE_FENCING_TOKENS_HPP

#include <cstdint>

namespace jaydrift::schedule {

struct shard_context;
struct worker_state;

/// Fencing tokens of the orders to workers. Each process of a worker gets a
/// higher one than the process before, so that it refuses orders that were
/// meant for that one. An owner may use the numbers from the revision of its
/// owner record to that of its last write: the revision of each later owner
/// record is higher.
namespace fencing_tokens {

/// Returns the token of orders to the present process of the worker.
std::uint64_t of(shard_context const& ctx, worker_state const& worker);

/// Returns whether the token was raised for a new process of the worker.
bool is_raised(shard_context const& ctx, worker_state const& worker);

/// Gives a new process of the worker a higher token if an order with the
/// present one can start a run or extend a lease there. Without a number that
/// is free, the token is due, and no order is sent before `tick` has found one.
void raise(shard_context& ctx, worker_state& worker);

/// Gives a worker a higher token than all workers had that the owner has
/// forgotten, since it may be one of them.
void begin(shard_context& ctx, worker_state& worker);

/// Remembers the token of a worker whose state is about to be removed.
void forget(shard_context& ctx, worker_state const& worker);

/// Notes the revision of a write that shows this daemon as the owner.
void note_write(shard_context& ctx, std::uint64_t revision);

/// Raises the token of the worker if that is due and a number is free.
void tick(shard_context& ctx, worker_state& worker);

} // namespace fencing_tokens

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_FENCING_TOKENS_HPP
