#ifndef JAYDRIFT_SCHEDULE_CANDIDATES_HPP
#define JAYDRIFT_SCHEDULE_CANDIDATES_HPP

#include <jaydrift/core/time_ms.hpp>
#include <jaydrift/schedule/candidate.hpp>

#include <optional>
#include <vector>

namespace jaydrift::schedule {

struct shard_context;

/// The daemons that may own a shard, and in which order.
namespace candidates {

/// Returns the daemons other than the recorded owner, those that should own
/// the shard first.
std::vector<candidate> ranked(shard_context const& ctx);

/// Shards of this daemon with this one, by its share of a core.
double own_load(shard_context const& ctx);

/// Returns the first candidate that has just answered, or none. The store must
/// have answered it since the given time. The one that was asked last comes
/// last.
std::optional<candidate> best_peer(shard_context const& ctx,
                                   time_ms store_heard_since);

/// Time that this daemon leaves better candidates for a claim.
time_ms claim_delay(shard_context const& ctx);

} // namespace candidates

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_CANDIDATES_HPP
