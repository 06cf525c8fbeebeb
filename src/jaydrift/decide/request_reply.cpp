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

/// Takes an open start out of the table. Returns nothing if the answer belongs
/// to no open start or to another attempt.
std::optional<start_in_flight>
take_start(context& step, std::uint64_t correlation, std::string_view worker)
{
    auto& starts = step.state.requests.starts;
    auto const found = starts.find(correlation);
    if (found == starts.end())
    {
        step.record("late_answer_dropped", {}, {}, worker);
        return std::nullopt;
    }
    auto start = std::move(found->second);
    starts.erase(found);
    auto const* entry = find_entry(step.state, start.key);
    auto const current =
        entry != nullptr && entry->phase == request_phase::started
        && entry->attempt == start.attempt && entry->worker == worker;
    if (!current)
    {
        step.record("late_answer_dropped", start.key.id, {}, worker);
        return std::nullopt;
    }
    return start;
}

/// The task may still run, so its booking outlasts the worker's lease.
void keep_booking(context& step, start_in_flight const& start)
{
    step.state.requests.lost_bookings.push_back(
        {step.now + step.state.settings.idle_lease, start.worker,
         start.key.id});
}

void on_refused(context& step, start_in_flight const& start,
                worker_reply const& reply)
{
    workers::release(step, start.worker, start.key.id);
    requeue(step, start.key, reply.reason);
    if (reply.outcome == worker_outcome::stale_epoch)
    {
        ownership::on_stale_epoch(step, start.key.shard, reply.epoch);
    }
}

void on_already_started(context& step, start_in_flight const& start,
                        worker_reply const& reply)
{
    if (!reply.answer.empty())
    {
        workers::release(step, start.worker, start.key.id);
        finish(step, start.key, {request_outcome::completed, reply.answer, {}});
        return;
    }
    keep_booking(step, start);
    leave_unresolved(step, start.key,
                     "the worker started it before and has no answer");
}

} // namespace

void requeue(context& step, request_key const& key, std::string_view reason)
{
    auto* entry = find_entry(step.state, key);
    step.record("request_refused", key.id, {}, reason);
    if (entry->waiters.empty())
    {
        finish(step, key,
               not_run("the last start was refused: " + std::string(reason)));
        return;
    }
    auto const jitter = step.state.random.below(retry_jitter_ms);
    entry->not_before =
        step.now
        + time_ms(min_retry_delay_ms + static_cast<std::int64_t>(jitter));
    enqueue(step.state, key, *entry, true);
}

void on_worker_replied(context& step, worker_replied const& event)
{
    auto const start = take_start(step, event.correlation, event.worker);
    if (!start)
    {
        return;
    }
    switch (event.reply.outcome)
    {
    case worker_outcome::ok:
        workers::release(step, start->worker, start->key.id);
        workers::record_urgent_result(step, start->worker, true);
        finish(step, start->key,
               {request_outcome::completed, event.reply.answer, {}});
        break;
    case worker_outcome::already_started:
        on_already_started(step, *start, event.reply);
        break;
    case worker_outcome::failed:
        workers::record_urgent_result(step, start->worker, false);
        workers::release(step, start->worker, start->key.id);
        leave_unresolved(step, start->key,
                         "the backend server failed: " + event.reply.reason);
        break;
    default:
        on_refused(step, *start, event.reply);
        break;
    }
    dispatch(step, start->key.shard);
}

void on_worker_failed(context& step, worker_failed const& event)
{
    auto const start = take_start(step, event.correlation, event.worker);
    if (!start)
    {
        return;
    }
    workers::record_urgent_result(step, start->worker, false);
    if (event.never_sent)
    {
        workers::release(step, start->worker, start->key.id);
        requeue(step, start->key, "the worker could not be reached");
    }
    else
    {
        keep_booking(step, *start);
        leave_unresolved(step, start->key, "the worker's answer was lost");
    }
    dispatch(step, start->key.shard);
}

} // namespace jaydrift::decide::requests
