#include <jaydrift/standin/store_values.hpp>

#include <algorithm>
#include <iterator>
#include <optional>
#include <vector>

namespace jaydrift::standin::store_values {

namespace {

/// Returns the revision of a key, or 0 if it does not exist.
std::uint64_t revision_of(store_state const& state, std::string_view key)
{
    auto const found = state.values.find(key);
    return found == state.values.end() ? 0 : found->second.revision;
}

/// Removes a key from the lease that would delete it.
void detach_from_lease(store_state& state, std::uint64_t lease,
                       std::string const& key)
{
    if (auto found = state.leases.find(lease); found != state.leases.end())
    {
        found->second.keys.erase(key);
    }
}

void remove(store_state& state, std::string const& key)
{
    auto const found = state.values.find(key);
    if (found == state.values.end())
    {
        return;
    }
    detach_from_lease(state, found->second.lease, key);
    state.values.erase(found);
    state.deleted[key] = ++state.revision;
}

store_reply with_outcome(store_outcome outcome, std::uint64_t revision)
{
    store_reply reply;
    reply.outcome = outcome;
    reply.revision = revision;
    return reply;
}

/// Calls `visit` with each item of a sorted map whose key begins with `prefix`.
template<class Map, class Visit>
void for_each_with_prefix(Map const& map, std::string_view prefix, Visit visit)
{
    for (auto item = map.lower_bound(prefix);
         item != map.end() && item->first.starts_with(prefix); ++item)
    {
        visit(*item);
    }
}

store_entry entry_of(std::pair<std::string const, stored_value> const& item)
{
    return {item.first, item.second.value, item.second.revision,
            item.second.token};
}

} // namespace

store_reply reply_to(store_context& ctx, put_request const& request)
{
    auto& state = ctx.state;
    auto const current = revision_of(state, request.key);
    if (request.value.size() > state.settings.max_value_bytes)
    {
        return with_outcome(store_outcome::too_large, current);
    }
    if (request.expected_revision.value_or(current) != current)
    {
        return with_outcome(store_outcome::conflict, current);
    }
    if (request.lease != 0 && !state.leases.contains(request.lease))
    {
        return with_outcome(store_outcome::lease_expired, current);
    }
    auto& stored = state.values[request.key];
    detach_from_lease(state, stored.lease, request.key);
    stored = {request.value, ++state.revision, request.token, request.lease};
    state.deleted.erase(request.key);
    if (request.lease != 0)
    {
        state.leases[request.lease].keys.insert(request.key);
    }
    return with_outcome(store_outcome::ok, state.revision);
}

store_reply reply_to(store_context& ctx, erase_request const& request)
{
    auto& state = ctx.state;
    auto const current = revision_of(state, request.key);
    if (request.expected_revision.value_or(current) != current)
    {
        return with_outcome(store_outcome::conflict, current);
    }
    if (current == 0)
    {
        return with_outcome(store_outcome::not_found, 0);
    }
    remove(state, request.key);
    return with_outcome(store_outcome::ok, state.revision);
}

store_reply reply_to(store_context& ctx, read_request const& request)
{
    auto reply = with_outcome(store_outcome::ok, ctx.state.revision);
    for_each_with_prefix(
        ctx.state.values, request.prefix,
        [&](auto const& item) { reply.entries.push_back(entry_of(item)); });
    return reply;
}

store_reply reply_to(store_context& ctx, grant_lease_request const& request)
{
    auto& state = ctx.state;
    auto reply = with_outcome(store_outcome::ok, state.revision);
    reply.lease = ++state.last_lease;
    state.leases[reply.lease] = {
        request.time_to_live, ctx.now + request.time_to_live, {}};
    return reply;
}

store_reply reply_to(store_context& ctx, keep_alive_request const& request)
{
    auto& state = ctx.state;
    auto const found = state.leases.find(request.lease);
    if (found == state.leases.end())
    {
        return with_outcome(store_outcome::lease_expired, state.revision);
    }
    found->second.expires_at = ctx.now + found->second.time_to_live;
    auto reply = with_outcome(store_outcome::ok, state.revision);
    reply.lease = request.lease;
    return reply;
}

void expire_leases(store_context& ctx)
{
    auto& state = ctx.state;
    for (auto lease = state.leases.begin(); lease != state.leases.end();)
    {
        if (lease->second.expires_at > ctx.now)
        {
            ++lease;
            continue;
        }
        auto const expired = state.leases.extract(lease++);
        ctx.record("lease_expired", std::to_string(expired.key()));
        for (auto const& key : expired.mapped().keys)
        {
            remove(state, key);
        }
    }
}

void restart_leases(store_context& ctx)
{
    for (auto& [number, lease] : ctx.state.leases)
    {
        lease.expires_at = ctx.now + lease.time_to_live;
    }
}

store_reply changes(store_state const& state, watch_request const& request)
{
    auto reply = with_outcome(store_outcome::ok, state.revision);
    for_each_with_prefix(state.values, request.prefix, [&](auto const& item) {
        if (item.second.revision > request.after_revision)
        {
            reply.entries.push_back(entry_of(item));
        }
    });
    for_each_with_prefix(state.deleted, request.prefix, [&](auto const& item) {
        if (item.second > request.after_revision)
        {
            reply.deleted.push_back(item.first);
        }
    });
    return reply;
}

void answer_watches(store_context& ctx)
{
    std::vector<waiting_watch> waiting;
    for (auto& watch : ctx.state.watches)
    {
        auto reply = changes(ctx.state, watch.request);
        bool const changed = !reply.entries.empty() || !reply.deleted.empty();
        if (changed || watch.expires_at <= ctx.now)
        {
            ctx.answer(watch.number, std::move(reply));
        }
        else
        {
            waiting.push_back(std::move(watch));
        }
    }
    ctx.state.watches = std::move(waiting);
}

} // namespace jaydrift::standin::store_values
