#include <jaydrift/decide/request_steps.hpp>

#include <jaydrift/core/hash.hpp>
#include <jaydrift/decide/context.hpp>
#include <jaydrift/decide/ownership.hpp>

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

namespace jaydrift::decide::requests {

namespace {

time_ms last_deadline(request_entry const& entry)
{
    time_ms latest;
    for (auto const& waiter : entry.waiters)
    {
        latest = std::max(latest, waiter.deadline);
    }
    return latest;
}

} // namespace

std::optional<shard_id> delegate_shard(daemon_state const& state,
                                       std::string_view home_region,
                                       std::string_view id)
{
    std::vector<std::string> others;
    for (auto const& region : state.settings.regions)
    {
        if (region != home_region)
        {
            others.push_back(region);
        }
    }
    if (others.empty())
    {
        return std::nullopt;
    }
    auto const& region = others[rendezvous(id, others)];
    return ownership::shard_of_key(state, region, id);
}

void delegate(context& ctx, request_key const& key)
{
    auto* entry = find_entry(ctx.state, key);
    auto const shard =
        delegate_shard(ctx.state, entry->request.home_region, key.id);
    if (!shard)
    {
        return;
    }
    if (entry->phase == request_phase::waiting)
    {
        dequeue(ctx.state, key, *entry);
    }
    entry->phase = request_phase::delegated;
    entry->delegated = true;
    request_waiter waiter{waiting_record{key}, ctx.now, last_deadline(*entry)};
    auto const number = forward(ctx, entry->request, *shard,
                                forward_purpose::delegate, std::move(waiter));
    // `forward` may have handled the result already.
    entry = find_entry(ctx.state, key);
    if (entry != nullptr && entry->phase == request_phase::delegated)
    {
        entry->forward = number;
    }
}

void on_delegated_result(context& ctx, request_key const& key,
                         request_result const& result)
{
    auto const* entry = find_entry(ctx.state, key);
    if (entry == nullptr || entry->phase != request_phase::delegated)
    {
        return;
    }
    if (result.outcome == request_outcome::unknown)
    {
        leave_unresolved(ctx, key, result.reason);
        return;
    }
    finish(ctx, key, result);
}

void on_delegation_returned(context& ctx, request_key const& key)
{
    auto const* entry = find_entry(ctx.state, key);
    if (entry != nullptr && entry->phase == request_phase::delegated)
    {
        delegate(ctx, key);
    }
}

} // namespace jaydrift::decide::requests
