#include <jaydrift/decide/batch_steps.hpp>

#include <jaydrift/decide/batch.hpp>
#include <jaydrift/decide/workers.hpp>

#include <algorithm>

namespace jaydrift::decide::batch {

namespace {

/// Bounds the size of a record.
constexpr std::size_t max_reason_bytes = 200;

bool is_batch(task_report const& report)
{
    return report.task.priority == task_class::batch
           || report.task.priority == task_class::background;
}

/// Appends the record of the end of an attempt. The worker keeps its report
/// until the record is durable.
void record_end(shard_scope const& scope, batch_job const& job,
                std::uint32_t index, std::string_view worker,
                batch_record record)
{
    pending_record entry;
    entry.record = std::move(record);
    entry.worker = worker;
    entry.task = task_id(job.spec.id, index);
    track_end(scope.ctx, scope.shard, worker, entry.task, false);
    append(scope, std::move(entry));
}

/// Applies one report about a task of an open job.
class report_handler
{
public:
    report_handler(shard_scope const& scope, std::string_view worker,
                   task_report const& report, batch_job& job,
                   std::uint32_t index)
        : scope_(scope), worker_(worker), report_(report), job_(job),
          index_(index), task_(job.tasks[index])
    {
    }

    void run()
    {
        if (report_.state == task_state::running)
        {
            return on_running();
        }
        if (!is_relevant())
        {
            // It is about another attempt or was applied before, so there is
            // nothing to record.
            return track_end(scope_.ctx, scope_.shard, worker_, report_.task.id,
                             true);
        }
        on_ended();
    }

private:
    bool is_placed() const { return job_.placed.contains(index_); }

    /// Tells whether this worker runs this attempt as far as is known.
    bool is_current() const
    {
        return is_placed() && task_.worker == worker_
               && task_.attempt == report_.attempt;
    }

    /// Tells whether the task is not placed and this is the latest known
    /// attempt of it, as after a takeover.
    bool is_latest_unplaced() const
    {
        return !is_placed() && task_.phase != task_phase::recording
               && task_.phase != task_phase::done
               && report_.attempt > task_.ended_attempt
               && report_.attempt >= task_.attempt;
    }

    bool is_relevant() const { return is_current() || is_latest_unplaced(); }

    void on_running()
    {
        if (is_current())
        {
            task_.phase = task_phase::running;
            task_.reported_absent = false;
            scope_.work.uncertain.erase({scope_.shard, job_.spec.id, index_});
            return;
        }
        if (is_latest_unplaced())
        {
            adopt();
        }
    }

    /// Places a task that a previous owner started.
    void adopt()
    {
        task_.attempt = report_.attempt;
        task_.checkpoint_ms =
            std::max(task_.checkpoint_ms, report_.checkpoint_ms);
        task_.start_before = time_ms();
        place(scope_, job_, index_, worker_);
        task_.phase = task_phase::running;
        refresh_queue(scope_, job_);
    }

    void on_ended()
    {
        if (report_.state == task_state::finished && is_placed())
        {
            observe_run(scope_.ctx, job_, task_);
        }
        bool const was_placed = is_placed();
        unplace(scope_, job_, index_);
        task_.attempt = report_.attempt;
        task_.checkpoint_ms =
            std::max(task_.checkpoint_ms, report_.checkpoint_ms);
        switch (report_.state)
        {
        case task_state::finished:
            return on_finished(was_placed);
        case task_state::failed:
            return record_failure(scope_, job_, index_, worker_,
                                  report_.answer);
        case task_state::evicted:
            return on_evicted();
        default:
            track_end(scope_.ctx, scope_.shard, worker_, report_.task.id, true);
            return enqueue(scope_, job_, index_);
        }
    }

    void on_finished(bool was_placed)
    {
        if (was_placed)
        {
            workers::record_batch_result(scope_.ctx, worker_, job_.spec.id,
                                         true);
        }
        record_finish(scope_, job_, index_, worker_, report_.attempt);
    }

    void on_evicted()
    {
        record_end(scope_, job_, index_, worker_,
                   evict_record{job_.spec.id, index_, report_.attempt,
                                report_.checkpoint_ms});
        // The task can start again before the record is durable: a later owner
        // that does not read the record learns the attempt and the checkpoint
        // from the worker, which keeps its report until then.
        enqueue(scope_, job_, index_);
    }

    shard_scope const& scope_;
    std::string_view worker_;
    task_report const& report_;
    batch_job& job_;
    std::uint32_t index_;
    batch_task& task_;
};

/// Tells whether the worker's report of the end of the task was handled before.
bool end_is_tracked(daemon_state const& state, std::string_view worker,
                    std::string_view task)
{
    auto const known = state.batch.workers.find(worker);
    return known != state.batch.workers.end()
           && known->second.ended_tasks.contains(task);
}

/// Applies a report about a task of a job that is closed or not known any more.
void apply_closed_report(shard_scope const& scope, std::string_view worker,
                         task_report const& report, batch_job* job,
                         std::uint32_t index)
{
    if (report.state == task_state::running)
    {
        return;
    }
    if (job != nullptr && index < job->tasks.size()
        && job->placed.contains(index) && job->tasks[index].worker == worker)
    {
        unplace(scope, *job, index);
        job->tasks[index].phase = task_phase::done;
        free_if_closed(scope, *job);
    }
    track_end(scope.ctx, scope.shard, worker, report.task.id, true);
}

} // namespace

void apply_report(shard_scope const& scope, std::string_view worker,
                  task_report const& report)
{
    if (!is_batch(report) || report.shard != scope.shard || !scope.work.loaded)
    {
        return;
    }
    auto const ref = parse_task_id(scope.shard, report.task.id);
    if (!ref || end_is_tracked(scope.ctx.state, worker, report.task.id))
    {
        return;
    }
    auto const found = find_task(scope.work, ref->job, ref->index);
    if (!found || found.job->closed())
    {
        return apply_closed_report(scope, worker, report,
                                   find_job(scope.work, ref->job), ref->index);
    }
    report_handler(scope, worker, report, *found.job, ref->index).run();
}

void record_failure(shard_scope const& scope, batch_job& job,
                    std::uint32_t index, std::string_view worker,
                    std::string const& reason)
{
    auto& task = job.tasks[index];
    unplace(scope, job, index);
    if (task.phase != task_phase::unresolved)
    {
        task.phase = task_phase::recording;
        task.worker = worker;
    }
    workers::record_batch_result(scope.ctx, worker, job.spec.id, false);
    record_end(scope, job, index, worker,
               fail_record{job.spec.id, index, task.attempt,
                           reason.empty()
                               ? "no reason given"
                               : reason.substr(0, max_reason_bytes)});
}

void record_finish(shard_scope const& scope, batch_job& job,
                   std::uint32_t index, std::string_view worker,
                   std::uint32_t attempt)
{
    auto& task = job.tasks[index];
    task.phase = task_phase::recording;
    task.worker = worker;
    record_end(scope, job, index, worker,
               finish_record{job.spec.id, index, attempt});
}

void track_end(context& ctx, shard_id const& shard, std::string_view worker,
               std::string_view task, bool durable)
{
    if (!worker.empty())
    {
        auto& worker_tasks = ctx.state.batch.workers[std::string(worker)];
        worker_tasks.ended_tasks[std::string(task)] = {shard, durable};
    }
}

void on_reports(context& ctx, std::string_view worker,
                std::span<task_report const> tasks)
{
    count_replies_without_task(ctx, worker, tasks);
    for (auto const& report : tasks)
    {
        if (auto* const work = find_shard(ctx, report.shard))
        {
            apply_report({ctx, report.shard, *work}, worker, report);
        }
    }
    auto const known = ctx.state.batch.workers.find(worker);
    if (known == ctx.state.batch.workers.end())
    {
        return;
    }
    std::set<std::string_view> reported;
    for (auto const& report : tasks)
    {
        reported.insert(report.task.id);
    }
    std::erase_if(known->second.ended_tasks, [&](auto const& entry) {
        return entry.second.durable && !reported.contains(entry.first);
    });
}

std::vector<std::string> acknowledged_tasks(daemon_state const& state,
                                            std::string_view worker)
{
    std::vector<std::string> tasks;
    auto const known = state.batch.workers.find(worker);
    if (known == state.batch.workers.end())
    {
        return tasks;
    }
    for (auto const& [id, task] : known->second.ended_tasks)
    {
        if (task.durable)
        {
            tasks.push_back(id);
        }
    }
    return tasks;
}

} // namespace jaydrift::decide::batch
