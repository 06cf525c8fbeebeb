#ifndef JAYDRIFT_SCHEDULE_GUEST_SUBMISSIONS_HPP
#define JAYDRIFT_SCHEDULE_GUEST_SUBMISSIONS_HPP

#include <cstdint>
#include <string>

namespace jaydrift::schedule {

struct shard_context;
struct store_replied;

/// Submissions of other shards, tasks of which were assigned to this one. Only
/// the shard that has a submission writes its records and answers its callers.
namespace guest_submissions {

/// Reads a submission unless that has begun already.
void load(shard_context& ctx, std::string const& id, std::uint32_t home);

/// Returns whether all submissions with tasks in this shard are known here, as
/// far as the store holds them. Until then reports of workers about them cannot
/// be applied.
bool all_loaded(shard_context const& ctx);

/// Handles the reply to a read.
void replied(shard_context& ctx, store_replied const& reply);

/// Repeats reads that have failed.
void tick(shard_context& ctx);

} // namespace guest_submissions

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_GUEST_SUBMISSIONS_HPP
