#ifndef JAYDRIFT_DECIDE_BATCH_STEPS_HPP
#define JAYDRIFT_DECIDE_BATCH_STEPS_HPP

#include <jaydrift/core/call_status.hpp>
#include <jaydrift/core/job_reply.hpp>
#include <jaydrift/core/job_request.hpp>
#include <jaydrift/core/resources.hpp>
#include <jaydrift/core/task_action.hpp>
#include <jaydrift/core/task_report.hpp>
#include <jaydrift/core/worker_reply.hpp>
#include <jaydrift/decide/context.hpp>

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace jaydrift::decide::batch {

/// Argument of the functions on one shard's batch work: the context of the
/// event that is handled, and the shard with its state. It refers to them and
/// owns nothing.
struct shard_scope
{
    context& ctx;
    shard_id const& shard;
    shard_batch& work;
};

/// A task with its job; both null if the task was not found.
struct found_task
{
    batch_job* job = nullptr;
    batch_task* task = nullptr;

    explicit operator bool() const { return task != nullptr; }
};

// Lookup. Each returns null, or a `found_task` that is false, if there is none.

shard_batch* find_shard(context& ctx, shard_id const& shard);
batch_job* find_job(shard_batch& work, std::string_view id);
found_task find_task(shard_batch& work, std::string const& job,
                     std::uint32_t index);
found_task find_task(context& ctx, task_ref const& ref);

/// Makes the shard's timer due at `when` at the latest.
void wake(shard_scope const& scope, time_ms when);

// Answers.

job_reply make_reply(call_status status, std::string reason = {},
                     job_status job = {});

/// Sends the reply to a caller, an operator or the daemon that forwarded the
/// request.
void answer(context& ctx, job_waiter const& waiter, job_reply const& reply);
void answer(context& ctx, std::span<job_waiter const> waiters,
            job_reply const& reply);

// Submissions and cancellations at the owner.

/// Answers a request about a job of the shard, at once or once its record is
/// durable.
void handle_request(shard_scope const& scope, job_waiter const& waiter,
                    job_request const& request);

/// Returns why a job cannot be accepted, naming the field; empty if it can.
std::string refusal_reason(daemon_state const& state, job_spec const& spec);

/// Returns why no worker of the shard can ever run a task of the job; empty if
/// one can.
std::string unplaceable_reason(daemon_state const& state, shard_id const& shard,
                               batch_job const& job);

/// Refuses submissions and cancellations that were never sent to the store and
/// whose `refuse_at` is not after `until`.
void refuse_unsent(shard_scope const& scope, time_ms until,
                   std::string const& reason);

/// Appends `entry.record` to the journal and returns its sequence number. The
/// record is applied, and `entry.waiters` answered, once it is durable.
std::uint64_t append(shard_scope const& scope, pending_record entry);

// Queue.

/// Puts a job into the queue of its team if it has tasks to start, or takes it
/// out.
void refresh_queue(shard_scope const& scope, batch_job const& job);

/// Makes a task that no worker runs wait for its next start, unless its job is
/// closed or the task is unresolved.
void enqueue(shard_scope const& scope, batch_job& job, std::uint32_t index);

/// Makes a task whose failure was recorded wait before it is started again.
void delay_retry(shard_scope const& scope, batch_job& job, std::uint32_t index);

/// Enqueues the delayed tasks whose wait is over.
void release_delayed(shard_scope const& scope);

/// Returns the next task of a job that may be started, without taking it.
std::optional<std::uint32_t> next_waiting(batch_job& job);

/// Tells whether the quota of the job's team leaves room for one more task.
bool within_quota(shard_scope const& scope, batch_job const& job);

/// Returns the part of its quota that a team uses in the shard, in thousandths.
std::int64_t used_quota_permille(shard_scope const& scope,
                                 std::string const& team);

/// Returns the team's quota, if it has one, in millicores.
std::optional<std::int64_t> quota_of(daemon_state const& state,
                                     std::string_view team);

// Placement.

/// Starts waiting tasks, as many as fit within the limits of one pass.
void schedule(shard_scope const& scope);

/// Assigns a task to a worker and reserves its demand there.
void place(shard_scope const& scope, batch_job& job, std::uint32_t index,
           std::string_view worker);

/// Undoes `place` for a task that the worker does not run any more. Does
/// nothing if the task is not placed.
void unplace(shard_scope const& scope, batch_job& job, std::uint32_t index);

/// Places the next attempt of a task on a worker and sends the start.
void start(shard_scope const& scope, batch_job& job, std::uint32_t index,
           std::string_view worker);

/// Sends a control call, which asks the worker of a placed task to act on it. A
/// call that fails is not repeated here.
void send_control(shard_scope const& scope, batch_job& job, std::uint32_t index,
                  task_action action);

/// Returns the description of a task that its worker gets.
task_spec spec_of(batch_job const& job, std::uint32_t index);

/// Returns the workers that one decision looks at: up to 16 in a row from a
/// random place, so that a decision costs the same in a large shard.
std::vector<std::string_view>
sample_workers(context& ctx, std::span<std::string const> workers);

/// Reserves for a job that has waited long the worker that is expected to have
/// room for it first, unless the shard has a reserved worker in use.
void reserve_worker(shard_scope const& scope, batch_job& job,
                    std::span<std::string_view const> workers);

/// Tells whether a task of the job fits on a worker now.
bool has_room(daemon_state const& state, std::string_view worker,
              batch_job const& job);

// Estimates.

/// Learns from a task that has just finished how long tasks of its kind run.
void observe_run(context& ctx, batch_job const& job, batch_task const& task);

/// Returns when a placed task is expected to end.
time_ms expected_end(daemon_state const& state, batch_job const& job,
                     batch_task const& task);

// Reports.

/// Applies one report of a worker about a task; ignores those about other
/// shards and about urgent tasks.
void apply_report(shard_scope const& scope, std::string_view worker,
                  task_report const& report);

/// Applies the list of all tasks on a fenced worker. Cancels running ones that
/// should not run there, and probes for placed ones that it does not list.
void apply_inventory(shard_scope const& scope, std::string_view worker,
                     std::span<task_report const> tasks);

/// Records that a worker finished a task that no worker runs any more.
void record_finish(shard_scope const& scope, batch_job& job,
                   std::uint32_t index, std::string_view worker,
                   std::uint32_t attempt);

/// Records that the current attempt of a task failed.
void record_failure(shard_scope const& scope, batch_job& job,
                    std::uint32_t index, std::string_view worker,
                    std::string const& reason);

/// Notes that a worker reports the end of a task. It may forget the task when
/// `durable` is true. Until it does, no new attempt is started there.
void track_end(context& ctx, shard_id const& shard, std::string_view worker,
               std::string_view task, bool durable);

/// Notes that it is not known whether a placed task runs; its worker is asked
/// at `probe_at`.
void mark_uncertain(shard_scope const& scope, batch_job& job,
                    std::uint32_t index, time_ms probe_at);

/// Asks the workers about uncertain tasks whose probe is due.
void probe_uncertain(shard_scope const& scope);

/// Counts, for each task that the worker said it does not run, the renewal
/// replies without it, and enqueues the task after enough of them.
void count_replies_without_task(context& ctx, std::string_view worker,
                                std::span<task_report const> tasks);

/// Makes the unresolved tasks waiting once no worker can still run them.
void release_unresolved(shard_scope const& scope);

/// Cancels the placed tasks of cancelled jobs.
void cancel_placed(shard_scope const& scope);

/// Frees the tasks of a job if it is closed and no worker runs any of them.
void free_if_closed(shard_scope const& scope, batch_job& job);

/// Frees all state of a shard. Callers who still wait are told that the result
/// is pending.
void release_shard(context& ctx, shard_id const& shard);

} // namespace jaydrift::decide::batch

#endif // JAYDRIFT_DECIDE_BATCH_STEPS_HPP
