#include <jaydrift/decide/batch_steps.hpp>

#include <jaydrift/decide/batch.hpp>
#include <jaydrift/decide/journal.hpp>
#include <jaydrift/decide/membership.hpp>
#include <jaydrift/decide/policy.hpp>

namespace jaydrift::decide::batch {

namespace {

/// A submission or cancellation that the journal could not send in this time is
/// refused, so that its caller can try another daemon.
constexpr time_ms send_timeout{3000};

/// Time that the record of a task's end may wait for others to share its write.
/// Only the worker waits for it. Fewer writes need fewer snapshots, and these
/// are the greater part of the data that a daemon sends.
constexpr time_ms max_end_record_delay{2000};

constexpr auto* store_unavailable =
    "store unavailable: nothing was written; try again later";

/// Handles a request about a job at the owner of its shard.
class request_handler
{
public:
    request_handler(shard_scope const& scope, job_waiter const& waiter)
        : scope_(scope), waiter_(waiter)
    {
    }

    void operator()(job_spec const& spec)
    {
        if (auto const* const job = find_job(scope_.work, spec.id))
        {
            return repeat(job->spec, spec, status_of(*job));
        }
        auto const waiting = scope_.work.submissions.find(spec.id);
        if (waiting != scope_.work.submissions.end())
        {
            return join(scope_.work.pending.at(waiting->second), spec);
        }
        if (auto const reason = refusal_reason(scope_.ctx.state, spec);
            !reason.empty())
        {
            return reply(call_status::refused, reason);
        }
        if (!membership::store_available(scope_.ctx.state, scope_.ctx.now))
        {
            return reply(call_status::refused, store_unavailable);
        }
        if (waiting_tasks(scope_.ctx.state, scope_.shard) + spec.task_count
                > scope_.ctx.state.settings.max_waiting_tasks
            || scope_.work.table.bytes > max_table_bytes)
        {
            return reply(call_status::refused,
                         "queue of the shard is full; try again later");
        }
        submit(spec);
    }

    void operator()(show_job const& request)
    {
        if (auto const* const job = find_job(scope_.work, request.id))
        {
            return reply(call_status::ok, {}, status_of(*job));
        }
        if (scope_.work.submissions.contains(request.id))
        {
            job_status status;
            status.id = request.id;
            return reply(call_status::pending, "submission is not durable yet",
                         status);
        }
        reply(call_status::not_found, "no job has this ID");
    }

    void operator()(cancel_job const& request)
    {
        auto const* const job = find_job(scope_.work, request.id);
        if (job == nullptr && !scope_.work.submissions.contains(request.id))
        {
            return reply(call_status::not_found, "no job has this ID");
        }
        if (job != nullptr && job->cancelled)
        {
            return reply(call_status::ok, {}, status_of(*job));
        }
        if (job != nullptr && job->closed())
        {
            return reply(call_status::refused, "job has finished",
                         status_of(*job));
        }
        append(scope_, with_waiter(cancel_record{request.id}));
    }

private:
    pending_record with_waiter(batch_record record) const
    {
        pending_record entry;
        entry.record = std::move(record);
        entry.waiters.push_back(waiter_);
        entry.refuse_at = scope_.ctx.now + send_timeout;
        wake(scope_, entry.refuse_at);
        return entry;
    }

    void submit(job_spec const& spec)
    {
        auto const* const kind = policy::find_kind(scope_.ctx.state, spec.kind);
        auto const sequence =
            append(scope_, with_waiter(submit_record{spec, kind->priority}));
        scope_.work.submissions[spec.id] = sequence;
    }

    /// Answers a submission whose ID a job already has.
    void repeat(job_spec const& first, job_spec const& spec, job_status status)
    {
        if (!same_content(first, spec))
        {
            return reply(call_status::refused,
                         "id: another job has this ID with other content");
        }
        reply(call_status::ok, {}, std::move(status));
    }

    /// Adds the waiter to a submission of the same ID that is not durable yet.
    void join(pending_record& entry, job_spec const& spec)
    {
        auto const& first = std::get<submit_record>(entry.record).spec;
        if (!same_content(first, spec))
        {
            return repeat(first, spec, {});
        }
        entry.waiters.push_back(waiter_);
    }

    void reply(call_status status, std::string reason, job_status job = {})
    {
        answer(scope_.ctx, waiter_,
               make_reply(status, std::move(reason), std::move(job)));
    }

    shard_scope const& scope_;
    job_waiter const& waiter_;
};

} // namespace

void handle_request(shard_scope const& scope, job_waiter const& waiter,
                    job_request const& request)
{
    if (!scope.work.loaded || !journal::ready(scope.ctx.state, scope.shard))
    {
        return answer(scope.ctx, waiter,
                      make_reply(call_status::refused,
                                 "store unavailable: the records of shard "
                                     + to_string(scope.shard)
                                     + " have not been read; try again later"));
    }
    std::visit(request_handler(scope, waiter), request);
}

std::uint64_t append(shard_scope const& scope, pending_record entry)
{
    auto const max_delay =
        entry.waiters.empty() ? max_end_record_delay : time_ms();
    auto const sequence = journal::append(scope.ctx, scope.shard,
                                          encode(entry.record), max_delay);
    scope.work.pending[sequence] = std::move(entry);
    return sequence;
}

void refuse_unsent(shard_scope const& scope, time_ms until,
                   std::string const& reason)
{
    for (auto entry = scope.work.pending.begin();
         entry != scope.work.pending.end();)
    {
        auto const current = entry++;
        auto const& waiting = current->second;
        if (waiting.waiters.empty() || waiting.refuse_at > until
            || !journal::withdraw(scope.ctx, scope.shard, current->first))
        {
            continue;
        }
        answer(scope.ctx, waiting.waiters,
               make_reply(call_status::refused, reason));
        if (auto const* const record =
                std::get_if<submit_record>(&waiting.record))
        {
            scope.work.submissions.erase(record->spec.id);
        }
        scope.work.pending.erase(current);
    }
}

void on_store_unavailable(context& ctx, shard_id const& shard)
{
    if (auto* const work = find_shard(ctx, shard))
    {
        refuse_unsent({ctx, shard, *work},
                      time_ms(std::numeric_limits<std::int64_t>::max()),
                      store_unavailable);
    }
}

} // namespace jaydrift::decide::batch
