#include <jaydrift/schedule/submissions.hpp>

#include <jaydrift/schedule/limits.hpp>
#include <jaydrift/schedule/queue_terms.hpp>
#include <jaydrift/schedule/record_log.hpp>
#include <jaydrift/schedule/recovery.hpp>
#include <jaydrift/schedule/run_numbers.hpp>
#include <jaydrift/schedule/selected_queue.hpp>
#include <jaydrift/schedule/shard_context.hpp>
#include <jaydrift/schedule/workers.hpp>

#include <algorithm>
#include <string>
#include <string_view>
#include <vector>

namespace jaydrift::schedule::submissions {

namespace {

/// A long-running task that has ended waits this long before it starts again.
constexpr time_ms restart_pause{50};

/// A start that no other change of the submission stores is written after this
/// time; callers may see numbers that are 2 s old.
constexpr time_ms start_write_delay{1000};

/// Time between two searches for submissions whose retention is over.
constexpr time_ms expiry_interval{1000};

/// Marks the steps whose earlier steps are done as ready.
void mark_ready_steps(submission_state& submission,
                      occurrence_state& occurrence, time_ms now)
{
    for (std::size_t i = 0; i < occurrence.steps.size(); ++i)
    {
        auto& step = occurrence.steps[i];
        auto const& after = submission.work.steps[i].after;
        if (step.ready
            || !std::all_of(after.begin(), after.end(), [&](auto earlier) {
                   auto const& other = occurrence.steps[earlier];
                   return other.done == other.tasks.size();
               }))
        {
            continue;
        }
        if (submission.waiting_tasks == 0)
        {
            submission.idle_since = now;
        }
        step.ready = true;
        step.ready_since = now;
        submission.waiting_tasks += step.waiting_tasks;
    }
}

void add_occurrence(submission_state& submission, time_ms now)
{
    auto& occurrence = submission.occurrences.emplace_back();
    for (auto const& spec : submission.work.steps)
    {
        auto& step = occurrence.steps.emplace_back();
        step.tasks.resize(spec.count);
        for (auto& task : step.tasks)
        {
            task.waiting_since = now;
        }
        step.waiting_tasks = spec.count;
    }
    mark_ready_steps(submission, occurrence, now);
}

/// Returns how many occurrences of a submission have been due so far.
std::uint32_t occurrences_due(shard_context const& ctx, submission const& work)
{
    if (work.repeat_count == 0)
    {
        return 1;
    }
    auto const wall_time = ctx.wall_time();
    if (wall_time < work.first_due)
    {
        return 0;
    }
    auto const interval = std::max<std::int64_t>(1, work.interval.count());
    auto const due = (wall_time - work.first_due).count() / interval + 1;
    return static_cast<std::uint32_t>(
        std::min<std::int64_t>(due, work.repeat_count));
}

/// Returns how many occurrences a submission has until it is completed.
std::uint32_t total_occurrences(submission const& work)
{
    return std::max(1U, work.repeat_count);
}

/// Returns whether the tasks of one more occurrence can be kept.
bool has_room_for_occurrence(submission_state const& submission)
{
    std::size_t added = 0;
    for (auto const& step : submission.work.steps)
    {
        added += step.count;
    }
    std::size_t kept = 0;
    std::size_t done = 0;
    for (auto const& occurrence : submission.occurrences)
    {
        for (auto const& step : occurrence.steps)
        {
            kept += step.tasks.size();
            done += step.done;
        }
    }
    return submission.occurrences.empty()
           || (kept - done + added <= limits::max_unfinished_tasks
               && kept + added <= limits::max_kept_tasks);
}

void add_due_occurrences(shard_context& ctx, submission_state& submission)
{
    auto const due = occurrences_due(ctx, submission.work);
    while (submission.occurrences.size() < due
           && has_room_for_occurrence(submission))
    {
        add_occurrence(submission, ctx.now);
        ctx.shard.placement_due = true;
        // It was due, so an earlier owner may have added and started it.
        auto const maybe_running = recovery::any_worker_unaccounted(ctx);
        for (auto& step : submission.occurrences.back().steps)
        {
            for (auto& task : step.tasks)
            {
                task.maybe_running = maybe_running;
            }
        }
    }
}

void stop_runs(shard_context& ctx, submission_state const& submission)
{
    for_each_task(submission, [&](task_id const& id, task_state const& task) {
        auto const worker = task.place
                                ? ctx.shard.workers.find(task.place->worker)
                                : ctx.shard.workers.end();
        if (worker != ctx.shard.workers.end())
        {
            workers::stop(ctx, worker->second, {id, task.place->run});
        }
    });
}

/// Ends a submission. Its runs are not stopped.
void end(shard_context& ctx, submission_state& submission,
         submission_phase phase)
{
    submission.phase = phase;
    submission.ended_at = ctx.wall_time();
    submission.waiting_tasks = 0;
    ctx.shard.active.erase(submission.id);
    record_log::changed_with_waiting_caller(ctx, submission);
}

/// Takes the place of a task away.
void remove_place(shard_context const& ctx, submission_state& submission,
                  task_id const& id, task_state& task)
{
    task.place.reset();
    --submission.placed_tasks;
    submission.idle_since = ctx.now;
    if (submission.minimum_run == id)
    {
        submission.minimum_run.reset();
    }
}

step_state& step_of(submission_state& submission, task_id const& id)
{
    return submission.occurrences[id.occurrence].steps[id.step];
}

/// Returns whether the stored state of a task tells that a run has begun. Its
/// last run does not, since that is stored before the start is ordered.
bool shows_start(task_progress const& stored)
{
    return stored.done || stored.highest_ended_run > 0
           || !stored.failed_runs.empty() || !stored.checkpoint.empty();
}

/// Applies the stored progress of a task.
void restore_task(shard_context& ctx, submission_state& submission,
                  task_id const& id, task_progress const& stored)
{
    auto* const task = find_task(submission, id);
    if (!task)
    {
        return;
    }
    constexpr auto max_run =
        static_cast<std::uint64_t>(limits::max_continued_number);
    task->failed_runs = stored.failed_runs;
    task->highest_ended_run = std::min(stored.highest_ended_run, max_run);
    task->last_run = std::min(stored.run, max_run);
    task->checkpoint = stored.checkpoint;
    submission.started = submission.started || shows_start(stored);
    if (stored.done)
    {
        finish_task(ctx, submission, id);
    }
    else if (!stored.worker.empty())
    {
        task->place = placement{stored.worker, task->last_run};
        placed(submission, id);
    }
}

} // namespace

submission_state* find(shard_context& ctx, std::string_view id)
{
    auto const found = ctx.shard.submissions.find(id);
    return found == ctx.shard.submissions.end() ? nullptr : &found->second;
}

task_state* find_task(submission_state& submission, task_id const& id)
{
    if (id.occurrence >= submission.occurrences.size())
    {
        return nullptr;
    }
    auto& steps = submission.occurrences[id.occurrence].steps;
    if (id.step >= steps.size() || id.index >= steps[id.step].tasks.size())
    {
        return nullptr;
    }
    return &steps[id.step].tasks[id.index];
}

submission_state* find_own(shard_context& ctx, std::string_view id)
{
    auto* const found = find(ctx, id);
    return found && !found->home ? found : nullptr;
}

submission_state& accept(shard_context& ctx, std::string_view id,
                         selected_queue const& selected, submission const& work)
{
    auto& submission =
        add(ctx, {std::string(id), selected.target.name, ctx.wall_time(), work,
                  queue_terms::of(selected, work)});
    submission.stored_terms.reset();
    return submission;
}

submission_state& add(shard_context& ctx, submission_record const& record)
{
    auto& submission = ctx.shard.submissions[record.id];
    submission.id = record.id;
    submission.queue = record.queue;
    submission.work = record.work;
    submission.accepted_at = record.accepted_at;
    submission.stored_terms = record.terms;
    submission.terms = queue_terms::of(ctx, record);
    auto const age = std::max(time_ms(0), ctx.wall_time() - record.accepted_at);
    submission.objective = ctx.now - age + submission.terms.time_allowed;
    ctx.shard.active.insert(record.id);
    add_due_occurrences(ctx, submission);
    ctx.shard.placement_due = true;
    return submission;
}

submission_state& add_guest(shard_context& ctx, submission_record const& record,
                            std::uint32_t home)
{
    auto& submission = add(ctx, record);
    submission.home = home;
    submission.record_stored = true;
    submission.phase = submission_phase::running;
    submission.stored_phase = submission.phase;
    for_each_task(submission, [&submission](task_id const& id, auto const&) {
        give_task(submission, id);
    });
    // Its steps have been ready for longer than this shard knows of them.
    for (auto& step : submission.occurrences.front().steps)
    {
        step.ready_since = submission.objective - submission.terms.time_allowed;
    }
    return submission;
}

void give_task(submission_state& submission, task_id const& id)
{
    auto& step = step_of(submission, id);
    step.tasks[id.index].elsewhere = true;
    --step.waiting_tasks;
    if (step.ready && !ended(submission.phase))
    {
        --submission.waiting_tasks;
    }
}

void take_task(shard_context& ctx, submission_state& submission,
               task_id const& id, time_ms waiting_since)
{
    auto& step = step_of(submission, id);
    auto& task = step.tasks[id.index];
    task.elsewhere = false;
    task.waiting_since = waiting_since;
    if (step.waiting_tasks++ == 0)
    {
        step.reason = wait_reason::not_tried;
    }
    if (step.ready && !ended(submission.phase))
    {
        ++submission.waiting_tasks;
        submission.idle_since = ctx.now;
    }
    ctx.shard.placement_due = true;
}

void restore(shard_context& ctx, progress_record const& record)
{
    auto* const submission = find(ctx, record.id);
    if (!submission)
    {
        return;
    }
    submission->phase = record.phase;
    submission->stored_phase = record.phase;
    submission->started = record.started;
    submission->start_written = record.started;
    submission->ended_at = record.ended_at;
    submission->stored_version = submission->version;
    if (ended(record.phase))
    {
        ctx.shard.active.erase(submission->id);
    }
    for (std::uint32_t occurrence_index = 0;
         occurrence_index < record.occurrences.size(); ++occurrence_index)
    {
        if (occurrence_index >= submission->occurrences.size())
        {
            if (occurrence_index >= total_occurrences(submission->work)
                || !has_room_for_occurrence(*submission))
            {
                ctx.log_work(
                    log_level::error, "ownership",
                    "the progress of " + record.id
                        + " has more occurrences than the submission, they"
                          " are ignored");
                ctx.count("unreadable_records_total", "occurrences");
                break;
            }
            add_occurrence(*submission, ctx.now);
        }
        for (std::uint32_t step_index = 0;
             step_index < record.occurrences[occurrence_index].size();
             ++step_index)
        {
            auto const& tasks =
                record.occurrences[occurrence_index][step_index];
            for (std::uint32_t task_index = 0; task_index < tasks.size();
                 ++task_index)
            {
                restore_task(
                    ctx, *submission,
                    {record.id, occurrence_index, step_index, task_index},
                    tasks[task_index]);
            }
        }
    }
    if (ended(record.phase))
    {
        submission->waiting_tasks = 0;
    }
}

void requeue(shard_context& ctx, submission_state& submission,
             task_id const& id)
{
    auto& step = step_of(submission, id);
    auto& task = step.tasks[id.index];
    if (!task.place)
    {
        return;
    }
    // The stored place may be older than the last order of the earlier owner,
    // which may have started the task elsewhere.
    task.maybe_running =
        task.place->run <= std::max(run_number_base(ctx.shard.ownership.record),
                                    task.run_base)
        && recovery::any_worker_unaccounted(ctx);
    remove_place(ctx, submission, id, task);
    task.waiting_since = ctx.now;
    if (task.done)
    {
        return;
    }
    if (step.waiting_tasks++ == 0)
    {
        step.reason = wait_reason::not_tried;
    }
    if (step.ready && !ended(submission.phase))
    {
        ++submission.waiting_tasks;
    }
    if (submission.work.steps[id.step].long_running)
    {
        task.not_before = std::max(task.not_before, ctx.now + restart_pause);
    }
    ctx.shard.placement_due = true;
}

void note_start(shard_context const& ctx, submission_state& submission)
{
    if (!submission.started)
    {
        submission.started = true;
        submission.started_at = ctx.now;
    }
}

void placed(submission_state& submission, task_id const& id)
{
    auto& step = step_of(submission, id);
    --step.waiting_tasks;
    if (step.ready && !ended(submission.phase))
    {
        --submission.waiting_tasks;
    }
    ++submission.placed_tasks;
    if (submission.phase == submission_phase::queued)
    {
        submission.phase = submission_phase::running;
    }
}

void withdraw_place(submission_state& submission, task_id const& id)
{
    auto& step = step_of(submission, id);
    step.tasks[id.index].place.reset();
    --submission.placed_tasks;
    ++step.waiting_tasks;
    if (step.ready && !ended(submission.phase))
    {
        ++submission.waiting_tasks;
    }
}

void finish_task(shard_context& ctx, submission_state& submission,
                 task_id const& id)
{
    auto& occurrence = submission.occurrences[id.occurrence];
    auto& step = occurrence.steps[id.step];
    auto& task = step.tasks[id.index];
    if (task.done)
    {
        return;
    }
    task.done = true;
    if (task.place)
    {
        remove_place(ctx, submission, id, task);
    }
    else
    {
        --step.waiting_tasks;
        if (step.ready && !ended(submission.phase))
        {
            --submission.waiting_tasks;
        }
    }
    if (++step.done < step.tasks.size())
    {
        return;
    }
    ++occurrence.steps_done;
    if (!ended(submission.phase))
    {
        mark_ready_steps(submission, occurrence, ctx.now);
        ctx.shard.placement_due = true;
    }
    auto const complete =
        submission.occurrences.size() == total_occurrences(submission.work)
        && std::all_of(submission.occurrences.begin(),
                       submission.occurrences.end(),
                       [](occurrence_state const& each) {
                           return each.steps_done == each.steps.size();
                       });
    if (complete && !ended(submission.phase))
    {
        end(ctx, submission, submission_phase::completed);
        ctx.log_work(log_level::info, "submission",
                     submission.id + " completed");
        ctx.observe("submission_ms", ctx.wall_time() - submission.accepted_at);
    }
}

void cancel(shard_context& ctx, submission_state& submission)
{
    end(ctx, submission, submission_phase::cancelled);
    stop_runs(ctx, submission);
    ctx.log_work(log_level::info, "submission",
                 submission.id + " cancelled by its caller");
}

void fail(shard_context& ctx, submission_state& submission)
{
    end(ctx, submission, submission_phase::failed);
    stop_runs(ctx, submission);
    ctx.log_work(log_level::info, "submission",
                 submission.id + " failed, a task used up its attempts");
}

void tick(shard_context& ctx)
{
    if (ctx.shard.ownership.role != owner_role::owner)
    {
        return;
    }
    for (auto const& id : ctx.shard.active)
    {
        auto& submission = *find(ctx, id);
        if (submission.work.repeat_count > 0)
        {
            add_due_occurrences(ctx, submission);
        }
        if (submission.started && !submission.start_written && !submission.dirty
            && ctx.now - submission.started_at >= start_write_delay)
        {
            record_log::changed(ctx, submission);
        }
    }
    if (!ctx.shard.record_log.expired_submissions.empty()
        || ctx.now < ctx.shard.next_submission_expiry)
    {
        return;
    }
    ctx.shard.next_submission_expiry = ctx.now + expiry_interval;
    for (auto& [id, submission] : ctx.shard.submissions)
    {
        if (ended(submission.stored_phase) && !submission.dirty
            && submission.stored_version == submission.version
            && ctx.wall_time() - submission.ended_at
                   >= ctx.state.options.retention)
        {
            ctx.shard.record_log.expired_submissions.push_back(id);
        }
    }
}

} // namespace jaydrift::schedule::submissions
