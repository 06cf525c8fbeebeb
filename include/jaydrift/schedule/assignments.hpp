#ifndef JAYDRIFT_SCHEDULE_ASSIGNMENTS_HPP
#define JAYDRIFT_SCHEDULE_ASSIGNMENTS_HPP

#include <cstdint>
#include <span>
#include <string_view>

namespace jaydrift::schedule {

struct assignment_record;
struct context;
struct daemon_state;
struct shard_context;
struct store_item;

/// Which shard each worker belongs to: that of the hash of its ID, unless an
/// assignment names another one.
namespace assignments {

/// Returns the shard that a worker belongs to.
/// @pre The layout is known.
std::uint32_t shard_of(daemon_state const& state, std::string_view worker);

/// Returns the token for orders of the owner of the shard to a worker: the
/// revision of its owner record or, if the worker was assigned to this owner
/// since, that of the assignment, so that the worker refuses late orders of the
/// shard that gave it away.
std::uint64_t fencing_token(shard_context const& ctx, std::string_view worker);

/// Applies a record unless a later one of the worker is known. The worker
/// leaves its shard and enters the other one, where this daemon holds them.
void observe(context& ctx, assignment_record const& record,
             std::uint64_t revision);

/// The same for the write or deletion of a record. One that cannot be read
/// assigns the worker to the shard of its hash.
void observe_item(context& ctx, store_item const& item);

/// Applies a complete list of the records, as the store held them at a
/// revision.
void observe_all(context& ctx, std::span<store_item const> items,
                 std::uint64_t revision);

/// Removes the record of a worker that has had no entry for long.
void tick(shard_context& ctx);

} // namespace assignments

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_ASSIGNMENTS_HPP
