#include <jaydrift/decide/batch_steps.hpp>

#include <jaydrift/decide/batch.hpp>

#include <algorithm>

namespace jaydrift::decide::batch {

namespace {

/// Applies a record that has become durable, and answers its waiters.
class durable_handler
{
public:
    durable_handler(shard_scope const& scope, pending_record const& entry)
        : scope_(scope), entry_(entry)
    {
    }

    void operator()(submit_record const& record)
    {
        scope_.work.submissions.erase(record.spec.id);
        decide::apply(scope_.work.table, entry_.record);
        auto& job = *find_job(scope_.work, record.spec.id);
        for (std::uint32_t index = 0; index < job.spec.task_count; ++index)
        {
            job.waiting.push_back(index);
        }
        job.unplaceable_reason =
            unplaceable_reason(scope_.ctx.state, scope_.shard, job);
        if (!job.unplaceable_reason.empty())
        {
            scope_.work.unplaceable.insert(record.spec.id);
        }
        refresh_queue(scope_, job);
        wake(scope_, scope_.ctx.now);
        scope_.ctx.add_timeline_event("job_accepted", {}, record.spec.id);
        reply(&job);
    }

    void operator()(finish_record const& record)
    {
        auto const changed = decide::apply(scope_.work.table, entry_.record);
        let_worker_forget();
        auto* const job = find_job(scope_.work, record.job);
        if (job == nullptr)
        {
            return;
        }
        if (changed)
        {
            scope_.ctx.add_timeline_event("task_finished", {}, entry_.task,
                                          entry_.worker);
        }
        after_end(*job);
    }

    void operator()(evict_record const& record)
    {
        decide::apply(scope_.work.table, entry_.record);
        let_worker_forget();
        wake(scope_, scope_.ctx.now);
        scope_.ctx.add_timeline_event("task_evicted", {}, entry_.task,
                                      std::to_string(record.checkpoint_ms));
    }

    void operator()(fail_record const& record)
    {
        auto const changed = decide::apply(scope_.work.table, entry_.record);
        let_worker_forget();
        auto* const job = find_job(scope_.work, record.job);
        if (job == nullptr)
        {
            return;
        }
        if (changed)
        {
            scope_.ctx.add_timeline_event("task_failed", {}, entry_.task,
                                          record.reason);
        }
        if (!job->closed())
        {
            delay_retry(scope_, *job, record.index);
        }
        after_end(*job);
    }

    void operator()(cancel_record const& record)
    {
        auto const changed = decide::apply(scope_.work.table, entry_.record);
        auto* const job = find_job(scope_.work, record.job);
        if (job != nullptr && changed)
        {
            scope_.ctx.add_timeline_event("job_cancelled", {}, record.job);
            scope_.work.cancelling.insert(record.job);
            wake(scope_, scope_.ctx.now);
            after_end(*job);
        }
        reply(job);
    }

private:
    void let_worker_forget()
    {
        track_end(scope_.ctx, scope_.shard, entry_.worker, entry_.task, true);
    }

    /// Updates the queue and frees the job, after a task or the job has ended.
    void after_end(batch_job& job)
    {
        refresh_queue(scope_, job);
        free_if_closed(scope_, job);
    }

    void reply(batch_job const* job)
    {
        if (job == nullptr)
        {
            return answer(
                scope_.ctx, entry_.waiters,
                make_reply(call_status::not_found, "no job has this ID"));
        }
        // The job finished while the cancellation was being written.
        bool const lost_race =
            std::holds_alternative<cancel_record>(entry_.record)
            && !job->cancelled;
        answer(scope_.ctx, entry_.waiters,
               make_reply(lost_race ? call_status::refused : call_status::ok,
                          lost_race ? "job has finished" : "",
                          status_of(*job)));
    }

    shard_scope const& scope_;
    pending_record const& entry_;
};

} // namespace

void on_durable(context& ctx, shard_id const& shard, std::uint64_t sequence)
{
    auto* const work = find_shard(ctx, shard);
    if (work == nullptr)
    {
        return;
    }
    shard_scope const scope{ctx, shard, *work};
    while (!work->pending.empty() && work->pending.begin()->first <= sequence)
    {
        auto const entry = work->pending.extract(work->pending.begin());
        std::visit(durable_handler(scope, entry.mapped()),
                   entry.mapped().record);
    }
    forget_old_jobs(work->table);
}

void free_if_closed(shard_scope const& scope, batch_job& job)
{
    if (job.closed() && job.placed.empty())
    {
        job.tasks.clear();
        job.waiting.clear();
        scope.work.cancelling.erase(job.spec.id);
    }
}

} // namespace jaydrift::decide::batch
