#include <jaydrift/decide/ownership.hpp>

#include <jaydrift/decide/context.hpp>
#include <jaydrift/decide/record_writes.hpp>
#include <jaydrift/decide/renewal.hpp>
#include <jaydrift/decide/takeover.hpp>
#include <jaydrift/decide/voters.hpp>
#include <jaydrift/decide/worker_links.hpp>

#include <algorithm>

namespace jaydrift::decide::ownership {

namespace {

std::optional<term_call> take_call(context& ctx, std::uint64_t correlation)
{
    auto& calls = ctx.state.ownership.calls;
    auto const found = calls.find(correlation);
    if (found == calls.end())
    {
        return {};
    }
    auto const call = found->second;
    calls.erase(found);
    return call;
}

/// Returns the shard if the term that sent the call still runs.
shard_view* current_view(context& ctx, term_call const& call)
{
    auto const found = ctx.state.ownership.shards.find(call.shard);
    if (found == ctx.state.ownership.shards.end() || !found->second.own_term
        || found->second.own_term->record.epoch != call.epoch)
    {
        return nullptr;
    }
    return &found->second;
}

/// Takes over voters that this daemon or the previous owner wrote.
void take_voters(term_state& mine, shard_record const& record)
{
    mine.record.generation = record.generation;
    mine.record.voters = record.voters;
    mine.record.previous_voters = record.previous_voters;
}

/// Reacts to a record that another daemon wrote.
void on_record_changed(context& ctx, shard_view& view)
{
    view.unserved_since = ctx.now;
    view.expected_owner.clear();
    if (!view.own_term)
    {
        return;
    }
    auto& mine = *view.own_term;
    bool const same = view.record.epoch == mine.record.epoch;
    bool const other = view.record.owner != mine.record.owner;
    if (view.record.epoch > mine.record.epoch)
    {
        return takeover::step_down(ctx, view, true);
    }
    if (same && other && !mine.quorum_at)
    {
        return takeover::retry_later(ctx, view);
    }
    if (view.record.generation > mine.record.generation)
    {
        take_voters(mine, view.record);
    }
}

void on_written(context& ctx, shard_view& view)
{
    if (!view.own_term || view.record.epoch != view.own_term->record.epoch)
    {
        return;
    }
    auto& mine = *view.own_term;
    take_voters(mine, view.record);
    mine.store_vote = true;
    if (mine.phase == shard_phase::claiming)
    {
        return takeover::start_fencing(ctx, view);
    }
    takeover::advance(ctx, view);
}

void on_write_outcome(context& ctx, shard_view& view,
                      record_writes::outcome result)
{
    using record_writes::outcome;
    bool const claiming =
        view.own_term && view.own_term->phase == shard_phase::claiming;
    switch (result)
    {
    case outcome::open:
        return;
    case outcome::written:
        return on_written(ctx, view);
    case outcome::unsure:
        if (claiming && view.revision != 0)
        {
            takeover::start_fencing(ctx, view);
        }
        return;
    case outcome::lost:
        if (claiming)
        {
            takeover::retry_later(ctx, view);
        }
        on_record_changed(ctx, view);
        return;
    }
}

shard_view* find_write(context& ctx, std::uint64_t correlation)
{
    for (auto& [shard, view] : ctx.state.ownership.shards)
    {
        if (view.write && view.write->correlation == correlation)
        {
            return &view;
        }
    }
    return nullptr;
}

void take_records(context& ctx, store_reply const& reply)
{
    for (auto const& entry : reply.entries)
    {
        for (auto& [shard, view] : ctx.state.ownership.shards)
        {
            // The write in flight resolves its own record.
            bool const own = view.write && view.write->token == entry.token;
            if (!own && record_writes::observe(view, entry)
                && view.record.shard == shard)
            {
                on_record_changed(ctx, view);
            }
        }
    }
}

} // namespace

void on_store_replied(context& ctx, store_replied const& event)
{
    auto& self = ctx.state.ownership;
    if (self.watch.owns(event.correlation))
    {
        on_watch_replied(ctx, reducer_module::ownership, self.watch,
                         event.reply);
        return take_records(ctx, event.reply);
    }
    if (auto* view = find_write(ctx, event.correlation))
    {
        auto const result = record_writes::on_replied(ctx, *view, event.reply);
        return on_write_outcome(ctx, *view, result);
    }
    if (auto const call = take_call(ctx, event.correlation))
    {
        if (auto* view = current_view(ctx, *call))
        {
            renewal::on_record_read(ctx, *view, *call, event.reply);
        }
    }
}

void on_store_failed(context& ctx, store_failed const& event)
{
    auto& self = ctx.state.ownership;
    if (self.watch.owns(event.correlation))
    {
        return on_watch_failed(ctx, self.watch);
    }
    if (auto* view = find_write(ctx, event.correlation))
    {
        auto const result =
            record_writes::on_failed(ctx, *view, event.never_sent);
        return on_write_outcome(ctx, *view, result);
    }
    take_call(ctx, event.correlation);
}

void on_worker_replied(context& ctx, worker_replied const& event)
{
    auto const call = take_call(ctx, event.correlation);
    auto* view = call ? current_view(ctx, *call) : nullptr;
    if (view == nullptr || !view->own_term->links.contains(event.worker))
    {
        return;
    }
    if (call->round == 0)
    {
        return worker_links::on_fence_replied(ctx, *view, event.worker,
                                              event.reply);
    }
    renewal::on_replied(ctx, *view, *call, event.worker, event.reply);
}

void on_worker_failed(context& ctx, worker_failed const& event)
{
    auto const call = take_call(ctx, event.correlation);
    auto* view = call ? current_view(ctx, *call) : nullptr;
    if (view == nullptr || !view->own_term->links.contains(event.worker))
    {
        return;
    }
    if (call->round == 0)
    {
        return worker_links::on_fence_failed(ctx, *view, event.worker);
    }
    renewal::on_failed(ctx, *view, *call, event.worker);
}

} // namespace jaydrift::decide::ownership
