#ifndef JAYDRIFT_SCHEDULE_PLACEMENT_POLICY_HPP
#define JAYDRIFT_SCHEDULE_PLACEMENT_POLICY_HPP

#include <jaydrift/core/time_ms.hpp>

namespace jaydrift::schedule {

struct shard_context;
struct shard_state;

/// Decides which waiting tasks start, and on which workers.
namespace placement_policy {

/// Starts the waiting tasks that find a worker, if a pass over them is due.
/// Passes are limited in rate, in starts and in their share of the time.
void tick(shard_context& ctx);

/// Returns the time of the next pass over the waiting tasks of a shard that
/// this daemon owns.
time_ms next_pass_at(shard_state const& shard);

/// Notes how long the last pass took.
void note_duration(shard_state& shard, time_ms last_pass_took);

} // namespace placement_policy

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_PLACEMENT_POLICY_HPP
