#include <jaydrift/decide/request_steps.hpp>

#include <jaydrift/decide/context.hpp>
#include <jaydrift/decide/workers.hpp>

#include <algorithm>
#include <type_traits>
#include <utility>
#include <variant>

namespace jaydrift::decide::requests {

namespace {

/// A quarter of the daemon's memory of 256 MB.
constexpr std::uint64_t max_answer_bytes = 64U << 20U;

/// Frees the payload of an entry, takes it out of its queue, and sets when it
/// is removed.
void close_record(context& ctx, request_key const& key, request_entry& entry)
{
    if (entry.phase == request_phase::waiting)
    {
        dequeue(ctx.state, key, entry);
    }
    drop_payload(ctx.state, entry);
    entry.forward = 0;
    if (!entry.expires_at)
    {
        auto& requests = ctx.state.requests;
        entry.expires_at = ctx.now + ctx.state.settings.request_retention;
        requests.expiries.emplace_back(*entry.expires_at, key);
    }
}

void answer_waiters(context& ctx, request_key const& key, request_entry& entry,
                    request_result const& result)
{
    for (auto const& waiter : take_waiters(ctx.state, key, entry))
    {
        send_result(ctx, waiter, key.id, result);
    }
}

std::string_view event_name(request_outcome outcome)
{
    switch (outcome)
    {
    case request_outcome::completed:
        return "request_completed";
    case request_outcome::not_run:
        return "request_not_run";
    case request_outcome::unknown:
        break;
    }
    return "request_unknown";
}

} // namespace

request_result not_run(std::string reason)
{
    return {request_outcome::not_run, {}, std::move(reason)};
}

request_result unknown(std::string reason)
{
    return {request_outcome::unknown, {}, std::move(reason)};
}

void send_result(context& ctx, request_waiter const& waiter,
                 std::string_view id, request_result const& result)
{
    ctx.emit(observe{"request_latency_ms", (ctx.now - waiter.arrived).count()});
    if (auto const* caller = std::get_if<waiting_caller>(&waiter.who))
    {
        ctx.add_timeline_event("request_answered", id, {},
                               event_name(result.outcome));
        ctx.emit(answer_caller{caller->call, result});
    }
    else if (auto const* peer = std::get_if<waiting_peer>(&waiter.who))
    {
        ctx.emit(answer_peer{peer->call, result});
    }
    else if (auto const* record = std::get_if<waiting_record>(&waiter.who))
    {
        on_delegated_result(ctx, record->key, result);
    }
}

void add_waiter(context& ctx, request_key const& key, request_entry& entry,
                request_waiter waiter)
{
    auto& requests = ctx.state.requests;
    if (entry.waiters.empty())
    {
        ++requests.shards[key.shard].with_waiters;
    }
    requests.deadlines.emplace(waiter.deadline, key);
    entry.waiters.push_back(std::move(waiter));
}

std::vector<request_waiter>
take_waiters(daemon_state& state, request_key const& key, request_entry& entry)
{
    auto& requests = state.requests;
    if (!entry.waiters.empty())
    {
        --requests.shards[key.shard].with_waiters;
    }
    for (auto const& waiter : entry.waiters)
    {
        requests.deadlines.erase({waiter.deadline, key});
    }
    return std::exchange(entry.waiters, {});
}

void finish(context& ctx, request_key const& key, request_result result)
{
    auto* entry = find_entry(ctx.state, key);
    if (entry == nullptr || entry->phase == request_phase::done)
    {
        return;
    }
    if (!entry->worker.empty())
    {
        workers::release(ctx, entry->worker, key.id);
    }
    close_record(ctx, key, *entry);
    entry->phase = request_phase::done;
    entry->result = std::move(result);
    ctx.add_timeline_event(event_name(entry->result.outcome), key.id, {},
                           entry->result.reason);
    answer_waiters(ctx, key, *entry, entry->result);
    if (!entry->result.answer.empty())
    {
        ctx.state.requests.answer_bytes += entry->result.answer.size();
        ctx.state.requests.answers.push_back(key);
        bound_answers(ctx.state);
    }
}

void leave_unresolved(context& ctx, request_key const& key,
                      std::string_view reason)
{
    auto* entry = find_entry(ctx.state, key);
    if (entry == nullptr || entry->phase == request_phase::done)
    {
        return;
    }
    close_record(ctx, key, *entry);
    entry->phase = request_phase::unresolved;
    entry->maybe_started = true;
    entry->result = unknown(std::string(reason));
    ctx.add_timeline_event("request_unknown", key.id, {}, reason);
    answer_waiters(ctx, key, *entry, unknown(std::string(reason)));
}

void bound_answers(daemon_state& state)
{
    auto& requests = state.requests;
    while (!requests.answers.empty())
    {
        auto* entry = find_entry(state, requests.answers.front());
        auto const has_answer =
            entry != nullptr && !entry->result.answer.empty();
        if (has_answer && requests.answer_bytes <= max_answer_bytes)
        {
            return;
        }
        if (has_answer)
        {
            requests.answer_bytes -= entry->result.answer.size();
            entry->result = unknown("the answer is no longer kept");
        }
        requests.answers.pop_front();
    }
}

void drop_payload(daemon_state& state, request_entry& entry)
{
    state.requests.payload_bytes -= entry.request.payload.size();
    entry.request.payload = {};
}

void forget_old(context& ctx)
{
    auto& requests = ctx.state.requests;
    while (!requests.expiries.empty()
           && requests.expiries.front().first <= ctx.now)
    {
        auto const [expires_at, key] = requests.expiries.front();
        requests.expiries.pop_front();
        auto* entry = find_entry(ctx.state, key);
        if (entry == nullptr || entry->expires_at != expires_at)
        {
            continue;
        }
        if (!entry->waiters.empty())
        {
            entry->expires_at = ctx.now + ctx.state.settings.request_retention;
            requests.expiries.emplace_back(*entry->expires_at, key);
            continue;
        }
        cancel_forward(ctx.state, entry->forward);
        drop_payload(ctx.state, *entry);
        requests.answer_bytes -= entry->result.answer.size();
        requests.shards[key.shard].entries.erase(key.id);
        --requests.entry_count;
    }
    bound_answers(ctx.state);
}

} // namespace jaydrift::decide::requests
