#ifndef JAYDRIFT_SCHEDULE_WORKERS_HPP
#define JAYDRIFT_SCHEDULE_WORKERS_HPP

#include <jaydrift/core/resources.hpp>
#include <jaydrift/core/time_ms.hpp>
#include <jaydrift/schedule/run_id.hpp>

#include <cstdint>
#include <string_view>

namespace jaydrift::schedule {

struct run_state;
struct shard_context;
struct daemon_state;
struct step_spec;
struct submission_state;
struct worker_entry;
struct worker_state;

/// Leases of the workers and the runs on them.
namespace workers {

/// Takes a worker entry that is new or has changed in the store.
void entry_changed(shard_context& ctx, worker_entry const& entry);

/// Handles the removal of a worker's entry from the store.
void entry_removed(shard_context& ctx, std::string_view id);

/// Handles that a worker belongs to another shard now. If its state shows runs,
/// which the transfer of a worker excludes, it is kept without an address until
/// their leases have expired.
void left_shard(shard_context& ctx, std::string_view id);

/// Handles a restart of the worker's process; `process_started_at` is 0 if the
/// time of its start is not known yet. Its runs are kept until the first
/// reply to a hold order tells which of them are gone: some may have been
/// started in the new process before this daemon heard of it.
void process_restarted(shard_context& ctx, worker_state& worker,
                       time_ms process_started_at);

/// Returns the state of a new run of a step, with the demand that `add_run`
/// counts.
run_state reservation(submission_state const& submission, std::uint32_t step);

/// Adds a run to the worker and its demand to what is used there. Does not
/// check that it fits: runs that are adopted or restored may exceed the
/// capacity. The processors of an opportunistic run are counted apart from
/// `used`. If the run is known already, it stays as it is.
run_state& add_run(worker_state& worker, run_id const& run, run_state reserved);

/// Removes a run from the worker and frees its room; ignored if it is unknown.
void remove_run(worker_state& worker, run_id const& run);

/// Lets a run work at up to the given pace, and counts its demand so.
/// @pre The worker has the run.
void raise_pace_limit(worker_state& worker, run_id const& run,
                      std::uint32_t percent);

/// Orders a run to start.
/// @pre The run was added to the worker, which has answered before.
void start(shard_context& ctx, worker_state& worker, run_id const& run);

/// Orders a run to stop. The owner repeats the order until the worker confirms
/// it; daemons in other roles do not.
void stop(shard_context& ctx, worker_state& worker, run_id const& run);

/// Orders a run to work at a share of its full speed.
void pace(shard_context& ctx, worker_state& worker, run_id const& run,
          std::uint32_t percent);

/// Sends hold orders that are due, stops the long-running tasks of draining
/// workers, repeats stop orders and drops the runs of workers whose lease has
/// expired.
void tick(shard_context& ctx);

/// Returns the length of the leases that an owner grants.
time_ms lease_length(daemon_state const& state);

/// Returns the time after which any lease has expired, even on the slowest
/// clock of a worker. It may be longer than those that owners grant: a worker
/// that started again may take an order with a time on its earlier clock, which
/// grants the longest lease.
time_ms longest_lease(daemon_state const& state);

/// Returns whether the worker has left an order unanswered that was sent since
/// its last answer and since this daemon entered its role, or cannot be asked.
/// An owner that was suspended or frozen has asked nobody meanwhile, so that a
/// worker's silence says nothing: its runs may have ended with success.
bool is_silent(shard_context const& ctx, worker_state const& worker);

/// Returns whether tasks may be started on the worker now.
bool usable(shard_context const& ctx, worker_state const& worker);

/// Returns the room that the worker has once its urgent tasks have ended and
/// the runs that were told to stop are gone.
resources room_without_urgent(worker_state const& worker);

/// Returns whether the worker belongs to the service and has the label that the
/// step requires.
bool matches_step(worker_entry const& worker, std::string_view service,
                  step_spec const& step);

/// Returns whether the label is among those of the worker: its kind and rack.
bool has_label(worker_entry const& worker, std::string_view label);

} // namespace workers

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_WORKERS_HPP
