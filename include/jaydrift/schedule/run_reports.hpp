#ifndef JAYDRIFT_SCHEDULE_RUN_REPORTS_HPP
#define JAYDRIFT_SCHEDULE_RUN_REPORTS_HPP

namespace jaydrift::schedule {

struct pending_worker_call;
struct shard_context;
struct worker_replied;
struct worker_state;

/// Applies the workers' lists of running and ended runs to the tasks.
namespace run_reports {

/// Handles the reply to a hold order.
void received(shard_context& ctx, worker_state& worker,
              worker_replied const& reply, pending_worker_call const& hold);

/// Handles the loss of all runs of the worker: their tasks wait again.
void all_lost(shard_context& ctx, worker_state& worker);

/// Does the same with the runs that the worker has listed.
void listed_lost(shard_context& ctx, worker_state& worker);

} // namespace run_reports

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_RUN_REPORTS_HPP
