#include <jaydrift/schedule/run_reports.hpp>

#include <jaydrift/schedule/event.hpp>
#include <jaydrift/schedule/fencing_tokens.hpp>
#include <jaydrift/schedule/pacing.hpp>
#include <jaydrift/schedule/record_log.hpp>
#include <jaydrift/schedule/recovery.hpp>
#include <jaydrift/schedule/shard_context.hpp>
#include <jaydrift/schedule/submissions.hpp>
#include <jaydrift/schedule/workers.hpp>

#include <algorithm>
#include <set>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace jaydrift::schedule::run_reports {

namespace {

/// A task waits this long after its run failed before it starts again.
constexpr time_ms retry_pause{30};

/// A run without progress for this long is taken to hang. A task that is slowed
/// down to a tenth still advances by 1 % in 200 ms.
constexpr time_ms hang_limit{1500};
constexpr time_ms long_running_hang_limit{3000};

/// At a pace below this one, in percent, a run has more time to make progress,
/// in proportion to its pace.
constexpr std::uint32_t unslowed_pace = 30;

/// A worker gets no tasks for a while after this many failures of different
/// submissions in a row. Tasks fail by themselves about once in twenty runs.
constexpr std::uint32_t suspicious_failures = 3;

/// Each quarantine is twice as long as the one before, up to the longest.
constexpr time_ms first_quarantine{3000};
constexpr time_ms longest_quarantine{12000};

/// Starts no tasks on the worker for a while. After that, one more failure is
/// enough for the next quarantine.
void start_quarantine(shard_context& ctx, worker_state& worker,
                      std::string_view reason)
{
    worker.last_quarantine =
        worker.last_quarantine == time_ms(0)
            ? first_quarantine
            : std::min(longest_quarantine,
                       worker.last_quarantine + worker.last_quarantine);
    worker.blocked_until = ctx.now + worker.last_quarantine;
    worker.failed_submissions_in_a_row = suspicious_failures - 1;
    ctx.count("quarantines_total", reason);
    ctx.log(log_level::warning, "worker",
            worker.entry.id + " gets no tasks for "
                + std::to_string(worker.last_quarantine.count())
                + " ms: " + std::string(reason));
}

/// Counts a failed run against the worker. Failures of the submission that
/// failed last do not count, since they may be its own fault.
void note_failure(shard_context& ctx, worker_state& worker,
                  std::string const& submission)
{
    if (worker.last_failed_submission == submission)
    {
        return;
    }
    worker.last_failed_submission = submission;
    if (++worker.failed_submissions_in_a_row >= suspicious_failures
        && ctx.now >= worker.blocked_until)
    {
        start_quarantine(ctx, worker, "tasks of different submissions failed");
    }
}

void note_success(worker_state& worker)
{
    worker.failed_submissions_in_a_row = 0;
    worker.last_failed_submission.clear();
    worker.last_quarantine = {};
}

/// The run has ended: if the task still has it as its place, the task waits
/// again.
void release(shard_context& ctx, submission_state& submission, run_id const& id)
{
    auto* const task = submissions::find_task(submission, id.task);
    if (task && task->place && task->place->run == id.number)
    {
        submissions::requeue(ctx, submission, id.task);
    }
}

/// Marks a task as done by the given run. If another run of it has been placed
/// since, that one is stopped.
void finish(shard_context& ctx, submission_state& submission, task_state& task,
            run_id const& id)
{
    if (task.place && task.place->run != id.number)
    {
        auto const other = ctx.shard.workers.find(task.place->worker);
        if (other != ctx.shard.workers.end())
        {
            workers::stop(ctx, other->second, {id.task, task.place->run});
        }
    }
    submissions::finish_task(ctx, submission, id.task);
}

/// Marks all members of a gang as done, since they end together: the end of one
/// member stands for all.
void finish_gang(shard_context& ctx, submission_state& submission,
                 run_id const& id)
{
    auto const count = submission.work.steps[id.task.step].count;
    for (std::uint32_t i = 0; i < count; ++i)
    {
        auto member = id;
        member.task.index = i;
        auto& task = *submissions::find_task(submission, member.task);
        if (task.place && task.place->run == id.number)
        {
            auto const worker = ctx.shard.workers.find(task.place->worker);
            if (worker != ctx.shard.workers.end())
            {
                workers::remove_run(worker->second, member);
            }
        }
        task.highest_ended_run = std::max(task.highest_ended_run, id.number);
        finish(ctx, submission, task, member);
    }
}

/// Counts a failed run against its worker and its task. The submission fails if
/// the task has used up its attempts; long-running tasks have no limit.
void count_failure(shard_context& ctx, worker_state& worker,
                   submission_state& submission, task_state& task,
                   step_spec const& spec, std::uint64_t run)
{
    note_failure(ctx, worker, submission.id);
    task.failed_on = worker.entry.id;
    task.not_before = ctx.now + retry_pause;
    ctx.count("runs_ended_total", "failed");
    if (spec.long_running)
    {
        ctx.log_work(log_level::info, "worker",
                     "long-running run " + std::to_string(run) + " of "
                         + submission.id + " failed on " + worker.entry.id);
        return;
    }
    task.failed_runs.push_back(run);
    ctx.log_work(log_level::info, "worker",
                 "run " + std::to_string(run) + " of " + submission.id
                     + " failed on " + worker.entry.id + ", attempt "
                     + std::to_string(task.failed_runs.size()) + " of "
                     + std::to_string(submission.terms.max_attempts));
    if (task.failed_runs.size() >= submission.terms.max_attempts)
    {
        submissions::fail(ctx, submission);
    }
}

/// Applies the end of a run to its task. It is acknowledged once the change is
/// stored.
void handle_end(shard_context& ctx, worker_state& worker,
                reported_end const& end)
{
    workers::remove_run(worker, end.run);
    ctx.shard.placement_due = true;
    auto* const submission = submissions::find(ctx, end.run.task.submission);
    auto* const task = submission
                           ? submissions::find_task(*submission, end.run.task)
                           : nullptr;
    if (!task)
    {
        worker.pending_ends.push_back({end.number, {}, 0});
        return;
    }
    submissions::note_start(ctx, *submission);
    auto const& spec = submission->work.steps[end.run.task.step];
    auto const counted = std::find(task->failed_runs.begin(),
                                   task->failed_runs.end(), end.run.number)
                         != task->failed_runs.end();
    auto const done = end.outcome == run_outcome::done && !spec.long_running;
    if (!task->done && end.run.number > task->highest_ended_run)
    {
        task->highest_ended_run = end.run.number;
        if (!end.checkpoint.empty())
        {
            task->checkpoint = end.checkpoint;
        }
    }
    if (done)
    {
        note_success(worker);
        ctx.count("runs_ended_total", "done");
    }
    if (done && !task->done && spec.gang)
    {
        finish_gang(ctx, *submission, end.run);
    }
    else if (done && !task->done)
    {
        finish(ctx, *submission, *task, end.run);
    }
    else
    {
        release(ctx, *submission, end.run);
        if (end.outcome == run_outcome::failed && !task->done && !counted
            && !ended(submission->phase))
        {
            count_failure(ctx, worker, *submission, *task, spec,
                          end.run.number);
        }
    }
    if (submission->home)
    {
        // What has to last of a long-running task is its assignment.
        worker.pending_ends.push_back({end.number, {}, 0});
        return;
    }
    record_log::changed(ctx, *submission);
    worker.pending_ends.push_back(
        {end.number, submission->id, submission->version});
}

/// Returns the pace at which an opportunistic run uses the processors that it
/// uses, if it would use all that it declares at full pace.
std::uint32_t estimated_pace(run_state const& run)
{
    auto const declared = std::max<std::int64_t>(1, run.demand.millicores);
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(
        run.load * full_pace / declared, 0, full_pace));
}

/// Takes over what the worker reports of a known run.
void note_progress(shard_context& ctx, run_state& run,
                   reported_run const& reported, task_state& task)
{
    if (reported.progress_percent != run.progress_percent)
    {
        run.progress_percent = reported.progress_percent;
        run.progress_at = ctx.now;
    }
    run.load = reported.load;
    run.listed = true;
    if (run.pace_unknown)
    {
        run.pace_unknown = false;
        run.pace_percent = estimated_pace(run);
    }
    if (!run.confirmed_at)
    {
        run.confirmed_at = ctx.now;
        run.progress_at = ctx.now;
        if (run.phase == run_phase::starting)
        {
            run.phase = run_phase::running;
        }
    }
    if (!reported.checkpoint.empty())
    {
        task.checkpoint = reported.checkpoint;
    }
}

/// Takes over a run that this owner did not know of as the run of its task.
/// Returns false if it must not go on: its submission or task has ended, or the
/// task has this run or a later one.
bool adopt(shard_context& ctx, worker_state& worker,
           submission_state& submission, task_state& task,
           reported_run const& reported)
{
    if (ended(submission.phase) || task.done || task.elsewhere
        || reported.run.number <= task.highest_ended_run)
    {
        return false;
    }
    if (task.place && task.place->run >= reported.run.number)
    {
        return false;
    }
    if (task.place)
    {
        auto const other = ctx.shard.workers.find(task.place->worker);
        if (other != ctx.shard.workers.end())
        {
            workers::remove_run(other->second,
                                {reported.run.task, task.place->run});
        }
        submissions::requeue(ctx, submission, reported.run.task);
    }
    task.place = placement{worker.entry.id, reported.run.number};
    task.last_run = std::max(task.last_run, reported.run.number);
    task.maybe_running = false;
    submissions::placed(submission, reported.run.task);
    auto run = workers::reservation(submission, reported.run.task.step);
    run.token = fencing_tokens::of(ctx, worker);
    run.pace_unknown = run.opportunistic;
    run.phase = run_phase::running;
    run.started_at = ctx.now;
    run.progress_at = ctx.now;
    run.confirmed_at = ctx.now;
    workers::add_run(worker, reported.run, std::move(run));
    record_log::changed(ctx, submission);
    return true;
}

/// Stops a run that must not go on. Until it has stopped, it holds its room on
/// the worker.
void reject(shard_context& ctx, worker_state& worker,
            submission_state const* submission, reported_run const& reported)
{
    run_state run;
    if (submission && reported.run.task.step < submission->work.steps.size())
    {
        run = workers::reservation(*submission, reported.run.task.step);
    }
    run.token = fencing_tokens::of(ctx, worker);
    run.phase = run_phase::running;
    run.confirmed_at = ctx.now;
    workers::add_run(worker, reported.run, std::move(run));
    workers::stop(ctx, worker, reported.run);
    ctx.log_work(log_level::info, "worker",
                 "stopping run " + std::to_string(reported.run.number) + " of "
                     + reported.run.task.submission + " on " + worker.entry.id
                     + ", it is no longer needed");
}

/// Applies the report about a running run.
void handle_running(shard_context& ctx, worker_state& worker,
                    reported_run const& reported)
{
    auto* const submission =
        submissions::find(ctx, reported.run.task.submission);
    auto* const task =
        submission ? submissions::find_task(*submission, reported.run.task)
                   : nullptr;
    auto known = worker.runs.find(reported.run);
    if (known == worker.runs.end())
    {
        if (!task || !adopt(ctx, worker, *submission, *task, reported))
        {
            reject(ctx, worker, submission, reported);
            return;
        }
        known = worker.runs.find(reported.run);
    }
    if (task)
    {
        submissions::note_start(ctx, *submission);
        note_progress(ctx, known->second, reported, *task);
    }
    if (known->second.phase != run_phase::stopping
        && (!task || ended(submission->phase)))
    {
        workers::stop(ctx, worker, reported.run);
    }
}

/// Returns whether a run that is missing in a report has ended or will never
/// start. That is proved by the reply to a hold order with a higher token than
/// that of the start order, or to one that was sent after the worker had
/// confirmed the start or the stop.
bool has_vanished(run_state const& run, pending_worker_call const& hold)
{
    if (run.token < hold.token)
    {
        return true;
    }
    if (run.phase == run_phase::stopping)
    {
        return run.stop_confirmed_at && *run.stop_confirmed_at < hold.sent_at;
    }
    return run.confirmed_at && *run.confirmed_at < hold.sent_at;
}

/// Returns whether a run that is missing in a report with rows that cannot be
/// read has ended: any of them may be the run, unless it was told to stop so
/// long ago that its lease would have expired.
bool has_stopped(shard_context const& ctx, run_state const& run, time_ms sent)
{
    return run.phase == run_phase::stopping && run.stop_confirmed_at
           && sent - *run.stop_confirmed_at >= ctx.state.options.max_lease;
}

/// Removes runs from the worker; their tasks wait again.
void remove_runs(shard_context& ctx, worker_state& worker,
                 std::span<run_id const> runs)
{
    for (auto const& id : runs)
    {
        workers::remove_run(worker, id);
        if (auto* const submission = submissions::find(ctx, id.task.submission))
        {
            release(ctx, *submission, id);
            record_log::changed(ctx, *submission);
        }
    }
}

/// Removes the runs that the worker no longer lists; their tasks wait again.
/// The list is complete unless it had rows that cannot be read.
void drop_missing(shard_context& ctx, worker_state& worker,
                  std::set<run_id> const& listed,
                  pending_worker_call const& hold, bool complete)
{
    std::vector<run_id> missing;
    for (auto const& [id, run] : worker.runs)
    {
        if (!listed.contains(id)
            && (complete ? has_vanished(run, hold)
                         : has_stopped(ctx, run, hold.sent_at)))
        {
            missing.push_back(id);
        }
    }
    remove_runs(ctx, worker, missing);
}

/// Returns whether a run has made no progress for too long.
bool hangs(shard_context const& ctx, run_state const& run)
{
    if (run.phase != run_phase::running || run.pace_percent == 0)
    {
        return false;
    }
    if (run.long_running)
    {
        constexpr std::uint32_t at_work = 100;
        return run.progress_percent < at_work
               && ctx.now - run.progress_at >= long_running_hang_limit;
    }
    auto const pace = std::min(run.pace_percent, unslowed_pace);
    return (ctx.now - run.progress_at) * pace >= hang_limit * unslowed_pace;
}

/// Stops the runs that hang, of those that the worker lists. If they are of
/// several submissions, the worker is at fault and gets no tasks for a while.
void stop_hanging(shard_context& ctx, worker_state& worker,
                  std::set<run_id> const& listed)
{
    std::vector<run_id> hanging;
    std::set<std::string> affected;
    for (auto const& [id, run] : worker.runs)
    {
        // One that is not listed may have ended.
        if (hangs(ctx, run) && (!worker.more_ends || listed.contains(id)))
        {
            hanging.push_back(id);
            affected.insert(id.task.submission);
        }
    }
    if (affected.size() > 1 && ctx.now >= worker.blocked_until)
    {
        start_quarantine(ctx, worker,
                         "tasks of different submissions stand still");
    }
    for (auto const& id : hanging)
    {
        ctx.log_work(log_level::info, "worker",
                     "run " + std::to_string(id.number) + " of "
                         + id.task.submission + " makes no progress on "
                         + worker.entry.id + ", stopping it");
        if (auto* const submission = submissions::find(ctx, id.task.submission))
        {
            if (auto* const task = submissions::find_task(*submission, id.task))
            {
                task->failed_on = worker.entry.id;
            }
        }
        workers::stop(ctx, worker, id);
    }
}

/// Counts rows of a reply that cannot be read, and logs the first ones in a
/// row.
void note_unreadable_rows(shard_context& ctx, worker_state& worker,
                          worker_replied const& reply)
{
    auto const rows = reply.unreadable_runs + reply.unreadable_ends;
    if (rows > 0)
    {
        ctx.count("unreadable_rows_total", "worker");
    }
    if (rows > 0 && !worker.unreadable_rows)
    {
        ctx.log(log_level::warning, "worker",
                worker.entry.id + " lists "
                    + std::to_string(reply.unreadable_runs) + " runs and "
                    + std::to_string(reply.unreadable_ends)
                    + " ends that cannot be read");
    }
    worker.unreadable_rows = rows > 0;
}

/// Logs when the list of ends begins or ceases to be cut off.
void note_more_ends(shard_context& ctx, worker_state& worker,
                    worker_replied const& reply)
{
    if (worker.more_ends == reply.more_ends)
    {
        return;
    }
    worker.more_ends = reply.more_ends;
    ctx.log(log_level::info, "worker",
            worker.entry.id
                + (reply.more_ends
                       ? " lists " + std::to_string(reply.ended.size())
                             + " ends and may have more, "
                       : " lists all ends again, ")
                + std::to_string(worker.runs.size()) + " runs known, end "
                + std::to_string(worker.acknowledged_end) + " acknowledged, "
                + std::to_string(worker.last_handled_end) + " handled");
}

/// Removes the runs for which the condition holds; their tasks wait again.
template<class Condition>
void lose_if(shard_context& ctx, worker_state& worker, Condition condition)
{
    std::vector<run_id> lost;
    for (auto const& [id, run] : worker.runs)
    {
        if (condition(run))
        {
            lost.push_back(id);
        }
    }
    remove_runs(ctx, worker, lost);
}

} // namespace

void received(shard_context& ctx, worker_state& worker,
              worker_replied const& reply, pending_worker_call const& hold)
{
    worker.serving_images_valid = false;
    worker.pace_raised = false;
    note_unreadable_rows(ctx, worker, reply);
    std::set<run_id> listed;
    for (auto const& end : reply.ended)
    {
        if (end.number > worker.last_handled_end)
        {
            worker.last_handled_end = end.number;
            handle_end(ctx, worker, end);
        }
    }
    for (auto const& reported : reply.running)
    {
        listed.insert(reported.run);
        handle_running(ctx, worker, reported);
    }
    note_more_ends(ctx, worker, reply);
    if (!reply.more_ends)
    {
        drop_missing(ctx, worker, listed, hold, reply.unreadable_runs == 0);
    }
    stop_hanging(ctx, worker, listed);
    pacing::reported(ctx, worker);
    while (!worker.pending_ends.empty()
           && worker.pending_ends.front().submission.empty())
    {
        worker.acknowledged_end = worker.pending_ends.front().number;
        worker.pending_ends.pop_front();
    }
}

void all_lost(shard_context& ctx, worker_state& worker)
{
    lose_if(ctx, worker, [](run_state const&) { return true; });
}

void listed_lost(shard_context& ctx, worker_state& worker)
{
    lose_if(ctx, worker, [](run_state const& run) { return run.listed; });
}

} // namespace jaydrift::schedule::run_reports
