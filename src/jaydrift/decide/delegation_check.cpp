#include <jaydrift/decide/requests.hpp>

#include <jaydrift/decide/context.hpp>
#include <jaydrift/decide/ownership.hpp>
#include <jaydrift/decide/request_steps.hpp>

#include <algorithm>
#include <utility>
#include <variant>

// A delegated request does not appear in the inventories of its home region's
// workers, so a new owner there cannot learn of it from them. Before the new
// owner runs an ID that may be older than its ownership, it asks the other
// region, which then either knows the ID or never runs it.

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

/// Tells whether a shard's entries may lack IDs that its workers ran.
bool records_incomplete(context const& ctx, shard_id const& shard)
{
    auto const acquired = ownership::acquired_at(ctx.state, shard);
    return ctx.now < acquired + ctx.state.settings.request_retention
           && !ownership::request_inventory_complete(ctx.state, shard);
}

/// Adds an entry that keeps a delegated request from running if it arrives
/// later.
void withdraw(context& ctx, request_key const& key)
{
    auto& requests = ctx.state.requests;
    auto& entry = requests.shards[key.shard].entries[key.id];
    ++requests.entry_count;
    entry.request.id = key.id;
    entry.arrived = ctx.now;
    entry.delegated_here = true;
    entry.withdrawn = true;
    entry.phase = request_phase::unresolved;
    finish(ctx, key, unknown("another owner of the request withdrew it"));
}

} // namespace

bool check_needed(context const& ctx, request_key const& key,
                  urgent_request const& request)
{
    auto const& settings = ctx.state.settings;
    auto const acquired = ownership::acquired_at(ctx.state, key.shard);
    auto const newer = request.issued_at
                       && *request.issued_at > acquired + settings.clock_skew;
    // The first epoch has no earlier owner.
    return !newer && ctx.now < acquired + settings.request_retention
           && ownership::term(ctx.state, key.shard).epoch > 1
           && delegate_shard(ctx.state, request.home_region, key.id);
}

void check_delegation(context& ctx, request_key const& key)
{
    auto* entry = find_entry(ctx.state, key);
    entry->phase = request_phase::checking;
    entry->check_needed = true;
    auto const shard =
        delegate_shard(ctx.state, entry->request.home_region, key.id);
    urgent_request query;
    query.id = key.id;
    request_waiter waiter{waiting_record{key}, ctx.now, last_deadline(*entry)};
    auto const number = forward(ctx, std::move(query), *shard,
                                forward_purpose::check, std::move(waiter));
    // `forward` may have handled the reply already.
    entry = find_entry(ctx.state, key);
    if (entry != nullptr && entry->phase == request_phase::checking)
    {
        entry->forward = number;
    }
}

void on_checked(context& ctx, request_key const& key, peer_reply const& reply)
{
    auto* entry = find_entry(ctx.state, key);
    if (entry == nullptr || entry->phase != request_phase::checking)
    {
        return;
    }
    entry->forward = 0;
    entry->check_needed = false;
    auto const* result = std::get_if<request_result>(&reply);
    if (result == nullptr)
    {
        admit(ctx, key);
        return;
    }
    if (result->outcome == request_outcome::unknown)
    {
        // The request may be running there; the new call joins its entry.
        delegate(ctx, key);
        return;
    }
    finish(ctx, key, *result);
}

peer_reply answer_check(context& ctx, request_key const& key)
{
    auto const* entry = find_entry(ctx.state, key);
    if (entry != nullptr && !entry->withdrawn)
    {
        return entry->phase == request_phase::done
                   ? entry->result
                   : unknown("the request has no result yet");
    }
    if (entry == nullptr && records_incomplete(ctx, key.shard))
    {
        return unknown("an earlier owner may have run it");
    }
    if (entry == nullptr)
    {
        withdraw(ctx, key);
    }
    return peer_acknowledgement{true};
}

void on_query(context& ctx, peer_called const& call,
              query_request const& request)
{
    // The asking daemon owns the ID in its home region, so of the shards that
    // the ID belongs to in the other regions, one at most is served here.
    for (auto const& region : ctx.state.settings.regions)
    {
        request_key const key{
            ownership::shard_of_key(ctx.state, region, request.request),
            request.request};
        if (ownership::serving(ctx.state, key.shard, ctx.now))
        {
            ctx.emit(answer_peer{call.call, answer_check(ctx, key)});
            return;
        }
    }
    ctx.emit(answer_peer{call.call, peer_acknowledgement{false}});
}

} // namespace jaydrift::decide::requests
