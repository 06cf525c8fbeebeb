#include <jaydrift/decide/request_steps.hpp>

#include <jaydrift/decide/context.hpp>
#include <jaydrift/decide/ownership.hpp>

#include <algorithm>
#include <utility>

namespace jaydrift::decide::requests {

namespace {

/// Sets the outcome of an entry when the deadlines of all waiters have passed.
/// A request that was sent gets none yet, so that a late result is kept.
void expire_all_waiters(context& ctx, request_key const& key,
                        request_entry& entry)
{
    auto const never_sent = entry.phase == request_phase::delegated
                            && entry.forward != 0
                            && !forward_sent(ctx.state, entry.forward);
    if (never_sent)
    {
        cancel_forward(ctx.state, entry.forward);
    }
    auto const not_started =
        never_sent || entry.phase == request_phase::waiting;
    if (entry.phase == request_phase::checking
        || (not_started
            && (entry.maybe_started
                || !ownership::serving(ctx.state, key.shard, ctx.now))))
    {
        // An earlier attempt may have started the request, or a successor may
        // run it for a repeat that reached it.
        cancel_forward(ctx.state, entry.forward);
        leave_unresolved(ctx, key, "no answer before the deadline");
        return;
    }
    if (not_started)
    {
        finish(ctx, key, not_run("no worker had room before the deadline"));
        return;
    }
    auto const no_answer = unknown("no answer before the deadline");
    for (auto const& waiter : take_waiters(ctx.state, key, entry))
    {
        send_result(ctx, waiter, key.id, no_answer);
    }
}

/// A waiter whose deadline passes while others still wait is not told
/// `not_run`, because the request may still start for the others.
void expire_waiters_of(context& ctx, request_key const& key)
{
    auto* entry = find_entry(ctx.state, key);
    if (entry == nullptr || entry->waiters.empty())
    {
        return;
    }
    auto& waiters = entry->waiters;
    auto const first_expired =
        std::partition(waiters.begin(), waiters.end(), [&](auto const& waiter) {
            return waiter.deadline > ctx.now;
        });
    if (first_expired == waiters.begin())
    {
        expire_all_waiters(ctx, key, *entry);
        return;
    }
    std::vector<request_waiter> const expired(first_expired, waiters.end());
    waiters.erase(first_expired, waiters.end());
    for (auto const& waiter : expired)
    {
        send_result(ctx, waiter, key.id,
                    unknown("no answer before the deadline"));
    }
}

} // namespace

void expire_waiters(context& ctx)
{
    auto& deadlines = ctx.state.requests.deadlines;
    while (!deadlines.empty() && deadlines.begin()->first <= ctx.now)
    {
        auto const key = deadlines.begin()->second;
        deadlines.erase(deadlines.begin());
        expire_waiters_of(ctx, key);
    }
}

} // namespace jaydrift::decide::requests
