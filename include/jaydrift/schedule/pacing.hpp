#ifndef JAYDRIFT_SCHEDULE_PACING_HPP
#define JAYDRIFT_SCHEDULE_PACING_HPP

namespace jaydrift::schedule {

struct run_id;
struct shard_context;
struct worker_state;

/// Adjusts the pace of running opportunistic tasks, which is their speed as a
/// share of the full one. They are slowed down, as far as to a pause, where a
/// serving task beside them is close to its latency target or misses it. Tasks
/// that save checkpoints are moved after a long pause.
namespace pacing {

/// Slows down a run that has just started if it may not work at full pace.
/// @pre The worker has the run.
void started(shard_context& ctx, worker_state& worker, run_id const& id);

/// Adjusts the pace of the opportunistic runs after a new report of the worker.
void reported(shard_context& ctx, worker_state& worker);

} // namespace pacing

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_PACING_HPP
