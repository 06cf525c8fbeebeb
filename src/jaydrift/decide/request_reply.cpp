#include <jaydrift/decide/requests.hpp>

#include <jaydrift/decide/context.hpp>
#include <jaydrift/decide/ownership.hpp>
#include <jaydrift/decide/workers.hpp>

#include <jaydrift/decide/request_steps.hpp>

#include <optional>
#include <string>
#include <utility>

namespace jaydrift::decide::requests {

namespace {

constexpr std::int64_t min_retry_delay_ms = 5;
constexpr std::uint64_t retry_jitter_ms = 20;

/// Removes a start in flight from the table and returns it. Returns nothing if
/// the reply belongs to no start in flight or to another attempt.
std::optional<start_in_flight>
take_start(context& ctx, std::uint64_t correlation, std::string_view worker)
{
    auto& starts = ctx.state.requests.starts;
    auto const found = starts.find(correlation);
    if (found == starts.end())
    {
        ctx.add_timeline_event("late_answer_dropped", {}, {}, worker);
        return std::nullopt;
    }
    auto start = std::move(found->second);
    starts.erase(found);
    auto const* entry = find_entry(ctx.state, start.key);
    auto const current =
        entry != nullptr && entry->phase == request_phase::started
        && entry->attempt == start.attempt && entry->worker == worker;
    if (!current)
    {
        ctx.add_timeline_event("late_answer_dropped", start.key.id, {}, worker);
        return std::nullopt;
    }
    return start;
}

/// Keeps the reservation until the worker's lease has expired, because the task
/// may still run.
void reserve_until_lease_end(context& ctx, start_in_flight const& start)
{
    ctx.state.requests.unconfirmed_starts.push_back(
        {ctx.now + ctx.state.settings.worker_lease, start.worker,
         start.key.id});
}

void on_refused(context& ctx, start_in_flight const& start,
                worker_reply const& reply)
{
    workers::release(ctx, start.worker, start.key.id);
    requeue(ctx, start.key, reply.reason);
    if (reply.outcome == worker_outcome::stale_epoch)
    {
        ownership::on_epoch_seen(ctx, start.key.shard, reply.epoch);
    }
}

void on_already_started(context& ctx, start_in_flight const& start,
                        worker_reply const& reply)
{
    if (!reply.answer.empty())
    {
        workers::release(ctx, start.worker, start.key.id);
        finish(ctx, start.key, {request_outcome::completed, reply.answer, {}});
        return;
    }
    reserve_until_lease_end(ctx, start);
    leave_unresolved(ctx, start.key,
                     "the worker started it before and has no answer");
}

} // namespace

void requeue(context& ctx, request_key const& key, std::string_view reason)
{
    auto* entry = find_entry(ctx.state, key);
    ctx.add_timeline_event("request_refused", key.id, {}, reason);
    if (entry->waiters.empty())
    {
        finish(ctx, key,
               not_run("the last start was refused: " + std::string(reason)));
        return;
    }
    auto const jitter = ctx.state.random.below(retry_jitter_ms);
    entry->not_before =
        ctx.now
        + time_ms(min_retry_delay_ms + static_cast<std::int64_t>(jitter));
    enqueue(ctx.state, key, *entry, true);
}

void on_worker_replied(context& ctx, worker_replied const& event)
{
    auto const start = take_start(ctx, event.correlation, event.worker);
    if (!start)
    {
        return;
    }
    switch (event.reply.outcome)
    {
    case worker_outcome::ok:
        workers::release(ctx, start->worker, start->key.id);
        workers::record_urgent_result(ctx, start->worker, true);
        finish(ctx, start->key,
               {request_outcome::completed, event.reply.answer, {}});
        break;
    case worker_outcome::already_started:
        on_already_started(ctx, *start, event.reply);
        break;
    case worker_outcome::failed:
        workers::record_urgent_result(ctx, start->worker, false);
        workers::release(ctx, start->worker, start->key.id);
        leave_unresolved(ctx, start->key,
                         "the backend server failed: " + event.reply.reason);
        break;
    default:
        on_refused(ctx, *start, event.reply);
        break;
    }
    dispatch(ctx, start->key.shard);
}

void on_worker_failed(context& ctx, worker_failed const& event)
{
    auto const start = take_start(ctx, event.correlation, event.worker);
    if (!start)
    {
        return;
    }
    workers::record_urgent_result(ctx, start->worker, false);
    if (event.never_sent)
    {
        workers::release(ctx, start->worker, start->key.id);
        requeue(ctx, start->key, "the worker could not be reached");
    }
    else
    {
        reserve_until_lease_end(ctx, *start);
        leave_unresolved(ctx, start->key, "the worker's answer was lost");
    }
    dispatch(ctx, start->key.shard);
}

} // namespace jaydrift::decide::requests
