#ifndef JAYDRIFT_SCHEDULE_RELOCATION_HPP
#define JAYDRIFT_SCHEDULE_RELOCATION_HPP

#include <cstdint>
#include <string_view>

namespace jaydrift::schedule {

struct shard_context;
struct shard_load;
struct submission;

/// Balances load between shards by the choice of the shard for each new
/// submission. Two shards may take it; the owner of the first one keeps it or
/// relocates it to the second one, once. Submissions that a shard has taken,
/// running tasks and the shards themselves are not relocated.
namespace relocation {

/// Returns the load of a shard that this daemon holds.
shard_load measure_load(shard_context const& ctx);

/// Returns the processors, in thousandths, that firm tasks or only long-running
/// ones hold or wait for, and that the workers have which may get new tasks.
std::int64_t firm_millicores(shard_context const& ctx);
std::int64_t long_running_millicores(shard_context const& ctx);
std::int64_t usable_millicores(shard_context const& ctx);

/// Returns whether the submission should go to its second shard: no worker here
/// can run it, or the load there is clearly lower.
bool should_relocate(shard_context const& ctx, std::string_view id,
                     std::string_view service, submission const& work);

/// Adds a submission that the shard keeps to the load of the shard. The store
/// does not have the submission yet.
void accepted(shard_context& ctx, submission const& work);

/// Relocates the submission to its second shard. The call is passed on once the
/// relocation is stored.
void relocate(shard_context& ctx, std::uint64_t call, std::string_view id,
              submission const& work);

/// Handles that the record of a relocation has been stored: passes on the calls
/// that wait for it.
void stored(shard_context& ctx, std::string_view id);

/// Removes relocations that were decided long ago, several times the retention
/// of ended submissions, also if the submission has not ended. If a caller
/// repeats the submission after that, the first shard may take it as well.
void tick(shard_context& ctx);

} // namespace relocation

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_RELOCATION_HPP
