#ifndef JAYDRIFT_DECIDE_BATCH_HPP
#define JAYDRIFT_DECIDE_BATCH_HPP

#include <jaydrift/core/job_request.hpp>
#include <jaydrift/core/resources.hpp>
#include <jaydrift/core/shard_id.hpp>
#include <jaydrift/core/task_report.hpp>
#include <jaydrift/core/usage_report.hpp>
#include <jaydrift/decide/event.hpp>

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace jaydrift::decide {

struct context;
struct daemon_state;

/// Batch work of the shards that this daemon owns: accepts jobs, queues and
/// places their tasks, evicts tasks, and records how they end. The journal
/// makes every change of a job durable before it counts.
namespace batch {

/// Runs the due work of every shard, such as starts, retries and probes.
void on_timer(context& ctx);

/// Serves a request about a job, or forwards it to the owner of the job's
/// shard. `on_job_forwarded` never forwards it again.
void on_job_arrived(context& ctx, job_arrived const& event);
void on_job_forwarded(context& ctx, peer_called const& call,
                      job_request const& request);
void on_operator_called(context& ctx, operator_called const& call,
                        job_request const& request);

/// Handles the reply, or the loss of the reply, to a start or a control call,
/// which asks a worker to act on a task that it runs (`task_action`).
void on_worker_replied(context& ctx, worker_replied const& event);
void on_worker_failed(context& ctx, worker_failed const& event);

/// Answers the caller of a forwarded request with the owner's reply, or tells
/// it that the reply was lost.
void on_peer_replied(context& ctx, peer_replied const& event);
void on_peer_failed(context& ctx, peer_failed const& event);

/// Applies every record of a shard up to `sequence`; the journal has made them
/// durable.
void on_durable(context& ctx, shard_id const& shard, std::uint64_t sequence);

/// Refuses the submissions and cancellations that wait for the journal: the
/// store cannot be reached, and they were not written.
void on_store_unavailable(context& ctx, shard_id const& shard);

/// Frees the state of a shard whose journal another owner has taken over. Who
/// waits for a record that is not known to be durable is told `pending`.
void on_journal_lost(context& ctx, shard_id const& shard);

/// Rebuilds a shard's jobs from the journal: a snapshot, and the records that
/// were written after it, in order.
void on_loaded(context& ctx, shard_id const& shard, std::string_view snapshot,
               std::span<std::string const> records);

/// Returns the shard's state as a snapshot for the journal.
std::string snapshot(daemon_state const& state, shard_id const& shard);

/// Applies the inventory of a fenced worker: adopts the tasks of the shard that
/// it runs, and records those that have ended.
void on_inventory(context& ctx, shard_id const& shard, std::string_view worker,
                  std::span<task_report const> tasks);

/// Records the finished, failed and evicted tasks of a renewal reply. Must be
/// called with every renewal reply, also with one without tasks: a worker has
/// forgotten an ended task that it no longer reports.
void on_reports(context& ctx, std::string_view worker,
                std::span<task_report const> tasks);

/// Handles the usage report of a renewal reply, which lags behind the present,
/// and takes at most one step against interference on that worker.
void on_usage(context& ctx, std::string_view worker,
              usage_report const& report);

/// Puts the tasks of a shard that were placed on a worker back into the queue.
/// The lease that the shard's owner last granted it has expired, so they have
/// stopped.
void on_lease_lapsed(context& ctx, shard_id const& shard,
                     std::string_view worker);

/// Loads the journal of a shard that this daemon now owns.
void on_shard_acquired(context& ctx, shard_id const& shard);

/// Refuses requests that were not written yet and frees the shard's state.
void on_shard_lost(context& ctx, shard_id const& shard);

/// Returns the IDs of the worker's ended tasks that it may forget, because the
/// record of their end is durable or there is nothing to record.
std::vector<std::string> acknowledged_tasks(daemon_state const& state,
                                            std::string_view worker);

/// Evicts batch tasks on a worker so that `demand` fits. Returns false, and
/// evicts nothing, if this daemon may not start work on the worker now or too
/// few batch tasks run there.
bool make_room(context& ctx, std::string_view worker, resources const& demand);

/// Returns the number of tasks that workers run or may run.
std::uint32_t running_tasks(daemon_state const& state, shard_id const& shard);

/// Returns the number of tasks of open jobs that no worker runs.
std::uint32_t waiting_tasks(daemon_state const& state, shard_id const& shard);

/// Returns when `on_timer` is next due.
time_ms next_timer(daemon_state const& state);

} // namespace batch

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_BATCH_HPP
