#include <jaydrift/decide/hand_over.hpp>

#include <jaydrift/decide/context.hpp>
#include <jaydrift/decide/membership.hpp>
#include <jaydrift/decide/ownership.hpp>
#include <jaydrift/decide/ranking.hpp>
#include <jaydrift/decide/requests.hpp>
#include <jaydrift/decide/stop.hpp>
#include <jaydrift/decide/takeover.hpp>

#include <algorithm>

namespace jaydrift::decide {

namespace {

// Bounds how long open requests delay a hand-over.
constexpr time_ms release_limit{5000};

constexpr std::uint32_t max_attempts = 3;

// A daemon must have ranked better for this long before a shard moves to it,
// and two moves are at least this far apart.
constexpr time_ms rebalance_interval{10000};

bool releasing_all(context& ctx) { return ctx.state.ownership.releasing_all; }

/// Serves the shard again after a hand-over that did not take place.
void resume(shard_view& view)
{
    view.own_term->phase = shard_phase::serving;
    view.own_term->hand_over_attempts = 0;
    view.better_owner_since.reset();
}

/// Asks the successor to take the shard. This daemon's authority ends with the
/// first request.
void send_hand_over(context& ctx, shard_view& view)
{
    auto& term = *view.own_term;
    auto const target = membership::find(ctx.state, term.successor);
    if (!target || ++term.hand_over_attempts > max_attempts)
    {
        // The authority is given up already; another daemon takes over.
        return takeover::step_down(ctx, view, false);
    }
    term.phase = shard_phase::handing_over;
    term.hand_over_call = ctx.ask_peer(
        reducer_module::ownership, *target,
        hand_over_request{view.shard, term.record.epoch,
                          requests::records(ctx.state, view.shard)});
}

/// Returns the successor of a shard, or nothing if no other daemon can serve.
std::optional<std::string> find_successor(context& ctx, shard_view const& view)
{
    auto const best = best_owner(ctx.state, view.shard, ctx.now);
    return best == ctx.state.settings.self.daemon ? std::nullopt : best;
}

/// Ends the term: the successor has taken the shard.
void complete(context& ctx, shard_view& view)
{
    auto const next = view.own_term->successor;
    ctx.add_timeline_event("shard_handed_over", {}, {},
                           to_string(view.shard) + " to " + next);
    // Requests that still arrive here are forwarded to the successor.
    view.expected_owner = next;
    takeover::step_down(ctx, view, false);
}

/// Handles a hand-over that the successor did not accept.
void on_not_accepted(context& ctx, shard_view& view)
{
    if (!releasing_all(ctx))
    {
        return resume(view);
    }
    if (auto const next = find_successor(ctx, view))
    {
        view.own_term->successor = *next;
    }
    send_hand_over(ctx, view);
}

/// Returns the shard whose hand-over request has this correlation number, or
/// null.
shard_view* find_call(context& ctx, std::uint64_t correlation)
{
    for (auto& [shard, view] : ctx.state.ownership.shards)
    {
        if (view.own_term && view.own_term->phase == shard_phase::handing_over
            && view.own_term->hand_over_call == correlation)
        {
            return &view;
        }
    }
    return nullptr;
}

/// Tells whether some shard is being handed over.
bool hand_over_under_way(context& ctx)
{
    auto const& shards = ctx.state.ownership.shards;
    return std::any_of(shards.begin(), shards.end(), [](auto const& entry) {
        auto const& term = entry.second.own_term;
        return term
               && (term->phase == shard_phase::releasing
                   || term->phase == shard_phase::handing_over);
    });
}

/// Tells whether another daemon has ranked better for long enough.
bool should_move(context& ctx, shard_view& view)
{
    auto const next = find_successor(ctx, view);
    if (!next || !view.own_term || view.own_term->phase != shard_phase::serving)
    {
        view.better_owner_since.reset();
        return false;
    }
    if (!view.better_owner_since || view.better_owner != *next)
    {
        view.better_owner_since = ctx.now;
        view.better_owner = *next;
    }
    return ctx.now - *view.better_owner_since >= rebalance_interval;
}

} // namespace

namespace hand_over {

void release(context& ctx, shard_view& view)
{
    view.own_term->phase = shard_phase::releasing;
    view.own_term->release_until = ctx.now + release_limit;
    advance(ctx, view);
}

void advance(context& ctx, shard_view& view)
{
    auto& term = *view.own_term;
    if (term.phase != shard_phase::releasing
        || (ctx.now < term.release_until
            && requests::open_requests(ctx.state, view.shard) > 0))
    {
        return;
    }
    auto const next = find_successor(ctx, view);
    if (!next && !releasing_all(ctx))
    {
        return resume(view);
    }
    term.successor = next.value_or("");
    send_hand_over(ctx, view);
}

void rebalance(context& ctx)
{
    auto& ownership = ctx.state.ownership;
    if (releasing_all(ctx) || stop::requested(ctx.state)
        || hand_over_under_way(ctx))
    {
        return;
    }
    for (auto& [shard, view] : ownership.shards)
    {
        if (should_move(ctx, view)
            && ctx.now - ownership.rebalanced_at >= rebalance_interval)
        {
            ownership.rebalanced_at = ctx.now;
            release(ctx, view);
            return;
        }
    }
}

} // namespace hand_over

namespace ownership {

void on_peer_replied(context& ctx, peer_replied const& event)
{
    auto* view = find_call(ctx, event.correlation);
    if (view == nullptr)
    {
        return;
    }
    auto const* reply = std::get_if<peer_acknowledgement>(&event.reply);
    if (reply != nullptr && reply->accepted)
    {
        return complete(ctx, *view);
    }
    on_not_accepted(ctx, *view);
}

void on_peer_failed(context& ctx, peer_failed const& event)
{
    auto* view = find_call(ctx, event.correlation);
    if (view == nullptr)
    {
        return;
    }
    if (event.never_sent && view->own_term->hand_over_attempts == 1)
    {
        return on_not_accepted(ctx, *view);
    }
    // The successor may have taken the shard, so only it may be asked again.
    send_hand_over(ctx, *view);
}

void on_hand_over(context& ctx, peer_called const& call,
                  hand_over_request const& request)
{
    auto& ownership = ctx.state.ownership;
    auto const found = ownership.shards.find(request.shard);
    bool accepted = false;
    if (found != ownership.shards.end() && !ownership.releasing_all
        && !stop::requested(ctx.state))
    {
        auto& view = found->second;
        auto const epoch = request.epoch + 1;
        accepted = view.own_term && view.own_term->handed_over
                   && view.own_term->record.epoch == epoch;
        if (!view.own_term && request.epoch >= view.highest_epoch)
        {
            accepted = takeover::begin(ctx, view, epoch, true);
            if (accepted && view.own_term)
            {
                view.own_term->handed_over_requests = request.records;
            }
        }
    }
    ctx.emit(answer_peer{call.call, peer_acknowledgement{accepted}});
}

} // namespace ownership

} // namespace jaydrift::decide
