#include <jaydrift/decide/requests.hpp>

#include <jaydrift/decide/context.hpp>
#include <jaydrift/decide/workers.hpp>

#include <jaydrift/decide/request_steps.hpp>

#include <algorithm>
#include <limits>
#include <vector>

namespace jaydrift::decide::requests {

namespace {

/// Other modules also free room on workers without an event for this module,
/// so the queues are checked at this interval.
constexpr time_ms dispatch_interval{20};

bool any_waiting(request_state const& requests)
{
    return std::any_of(requests.queues.begin(), requests.queues.end(),
                       [](auto const& queue) { return queue.length > 0; });
}

void dispatch_all(context& ctx)
{
    auto& requests = ctx.state.requests;
    if (!any_waiting(requests) || ctx.now < requests.next_dispatch)
    {
        return;
    }
    requests.next_dispatch = ctx.now + dispatch_interval;
    std::vector<shard_id> shards;
    for (auto const& [shard, records] : requests.shards)
    {
        shards.push_back(shard);
    }
    for (auto const& shard : shards)
    {
        dispatch(ctx, shard);
    }
}

/// Releases the reservations of tasks whose end this daemon does not learn,
/// once the worker's lease has expired: the reply to their start was lost, or
/// an earlier owner started them.
void release_unconfirmed_starts(context& ctx)
{
    auto& unconfirmed = ctx.state.requests.unconfirmed_starts;
    while (!unconfirmed.empty() && unconfirmed.front().until <= ctx.now)
    {
        workers::release(ctx, unconfirmed.front().worker,
                         unconfirmed.front().task);
        unconfirmed.pop_front();
    }
}

} // namespace

request_entry* find_entry(daemon_state& state, request_key const& key)
{
    auto const shard = state.requests.shards.find(key.shard);
    if (shard == state.requests.shards.end())
    {
        return nullptr;
    }
    auto const found = shard->second.entries.find(key.id);
    return found == shard->second.entries.end() ? nullptr : &found->second;
}

void on_timer(context& ctx)
{
    expire_waiters(ctx);
    advance_due_forwards(ctx);
    release_unconfirmed_starts(ctx);
    forget_old(ctx);
    dispatch_all(ctx);
}

bool idle(daemon_state const& state)
{
    auto const& requests = state.requests;
    return requests.forwards.empty()
           && std::all_of(
               requests.shards.begin(), requests.shards.end(),
               [](auto const& item) { return item.second.with_waiters == 0; });
}

time_ms next_timer(daemon_state const& state)
{
    auto const& requests = state.requests;
    auto next = time_ms(std::numeric_limits<std::int64_t>::max());
    auto const include = [&](time_ms due) { next = std::min(next, due); };
    if (!requests.deadlines.empty())
    {
        include(requests.deadlines.begin()->first);
    }
    if (!requests.forwards_due.empty())
    {
        include(requests.forwards_due.begin()->first);
    }
    if (!requests.expiries.empty())
    {
        include(requests.expiries.front().first);
    }
    if (!requests.unconfirmed_starts.empty())
    {
        include(requests.unconfirmed_starts.front().until);
    }
    if (any_waiting(requests))
    {
        include(requests.next_dispatch);
    }
    return next;
}

} // namespace jaydrift::decide::requests
