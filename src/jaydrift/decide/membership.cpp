#include <jaydrift/decide/membership.hpp>

#include <jaydrift/decide/context.hpp>
#include <jaydrift/decide/heartbeats.hpp>
#include <jaydrift/decide/member_key_calls.hpp>
#include <jaydrift/decide/member_text.hpp>
#include <jaydrift/decide/stop.hpp>

#include <algorithm>
#include <set>

namespace jaydrift::decide::membership {

namespace {

void initialize(context& ctx)
{
    auto& membership = ctx.state.membership;
    membership.started_at = ctx.now;
    membership.last_timer = ctx.now;
    for (auto const& peer : ctx.state.settings.peers)
    {
        if (peer.daemon != ctx.state.settings.self.daemon)
        {
            auto& view = membership.members[peer.daemon];
            view.member = peer;
            view.configured = true;
            view.next_heartbeat = ctx.now;
        }
    }
}

/// After a pause of this process, treats the daemons that were live before it
/// as heard from now, because their heartbeats could not be handled meanwhile.
void renew_liveness_after_pause(context& ctx)
{
    auto& membership = ctx.state.membership;
    auto const pause_limit = ctx.state.settings.suspect_after
                             - ctx.state.settings.heartbeat_interval;
    for (auto& [name, view] : membership.members)
    {
        if (ctx.now - membership.last_timer > pause_limit
            && live(ctx.state, name, membership.last_timer))
        {
            view.heard_at = ctx.now;
        }
    }
    membership.last_timer = ctx.now;
}

/// Adds the daemon that a key in the store names.
void add_registered(context& ctx, store_entry const& entry)
{
    auto const member = decode_member(entry.value);
    if (!member || member->daemon == ctx.state.settings.self.daemon)
    {
        return;
    }
    auto& view = ctx.state.membership.members[member->daemon];
    view.member = *member;
    view.registered = true;
    if (!view.heard_at)
    {
        view.next_heartbeat = ctx.now;
    }
}

void remove_registered(context& ctx, std::string_view daemon)
{
    auto& members = ctx.state.membership.members;
    if (auto const found = members.find(daemon); found != members.end())
    {
        found->second.registered = false;
    }
}

/// Forgets daemons that neither the settings nor the store name and that are
/// not live.
void forget_members(context& ctx)
{
    std::erase_if(ctx.state.membership.members, [&](auto const& entry) {
        auto const& [name, view] = entry;
        return !view.configured && !view.registered
               && !live(ctx.state, name, ctx.now);
    });
}

/// Applies keys from the store. If `lists_all` is set, the store has no other
/// keys of daemons.
void apply_members(context& ctx, store_reply const& reply, bool lists_all)
{
    std::set<std::string, std::less<>> listed;
    for (auto const& entry : reply.entries)
    {
        add_registered(ctx, entry);
        listed.insert(entry.key);
    }
    for (auto const& key : reply.deleted)
    {
        remove_registered(ctx,
                          std::string_view(key).substr(sizeof("members/") - 1));
    }
    for (auto& [name, view] : ctx.state.membership.members)
    {
        view.registered = view.registered
                          && (!lists_all || listed.contains("members/" + name));
    }
    forget_members(ctx);
}

} // namespace

void on_timer(context& ctx)
{
    auto& membership = ctx.state.membership;
    if (!membership.started_at)
    {
        initialize(ctx);
    }
    renew_liveness_after_pause(ctx);
    member_key_calls::advance(ctx);
    advance(ctx, reducer_module::membership, membership.watch);
    heartbeats::advance(ctx);
}

void on_store_replied(context& ctx, store_replied const& event)
{
    auto& membership = ctx.state.membership;
    if (!membership.store_answers)
    {
        membership.store_answers_since = ctx.now;
    }
    membership.store_answers = true;
    if (membership.watch.owns(event.correlation))
    {
        bool const lists_all = on_watch_replied(ctx, reducer_module::membership,
                                                membership.watch, event.reply);
        if (event.reply.outcome == store_outcome::ok)
        {
            apply_members(ctx, event.reply, lists_all);
        }
    }
    else if (event.correlation == membership.key.correlation)
    {
        member_key_calls::on_replied(ctx, event.reply);
    }
}

void on_store_failed(context& ctx, store_failed const& event)
{
    auto& membership = ctx.state.membership;
    if (membership.watch.owns(event.correlation))
    {
        // A watch may have timed out because nothing changed, so its timeout
        // says nothing about the store.
        membership.store_answers = membership.store_answers
                                   && membership.watch.watching
                                   && !event.never_sent;
        on_watch_failed(ctx, membership.watch);
    }
    else if (event.correlation == membership.key.correlation)
    {
        membership.store_answers = false;
        member_key_calls::on_failed(ctx);
    }
}

std::optional<member_info> find(daemon_state const& state,
                                std::string_view daemon)
{
    if (daemon == state.settings.self.daemon)
    {
        return state.settings.self;
    }
    auto const found = state.membership.members.find(daemon);
    return found == state.membership.members.end()
               ? std::nullopt
               : std::optional(found->second.member);
}

std::vector<member_info> live_members(daemon_state const& state, time_ms now)
{
    std::vector<member_info> result;
    if (!stop::requested(state))
    {
        result.push_back(state.settings.self);
    }
    for (auto const& [name, view] : state.membership.members)
    {
        if (!view.last_heartbeat.draining && live(state, name, now))
        {
            result.push_back(view.member);
        }
    }
    return result;
}

bool live(daemon_state const& state, std::string_view daemon, time_ms now)
{
    if (daemon == state.settings.self.daemon)
    {
        return true;
    }
    auto const found = state.membership.members.find(daemon);
    if (found == state.membership.members.end() || !found->second.heard_at)
    {
        return false;
    }
    return now - *found->second.heard_at < state.settings.suspect_after;
}

heartbeat const* last_heartbeat(daemon_state const& state,
                                std::string_view daemon)
{
    auto const found = state.membership.members.find(daemon);
    return found == state.membership.members.end() || !found->second.heard_at
               ? nullptr
               : &found->second.last_heartbeat;
}

bool store_available(daemon_state const& state, time_ms)
{
    return state.membership.store_answers;
}

bool store_available_for(daemon_state const& state, time_ms now,
                         time_ms duration)
{
    return state.membership.store_answers
           && now - state.membership.store_answers_since >= duration;
}

std::vector<member_status> status(daemon_state const& state, time_ms now)
{
    std::vector<member_status> result{
        {state.settings.self, true, stop::requested(state)}};
    for (auto const& [name, view] : state.membership.members)
    {
        result.push_back({view.member, live(state, name, now),
                          view.last_heartbeat.draining});
    }
    return result;
}

time_ms next_timer(daemon_state const& state)
{
    auto const& membership = state.membership;
    if (!membership.started_at)
    {
        return {};
    }
    return std::min(
        {decide::next_timer(membership.watch),
         member_key_calls::next_timer(membership.key),
         heartbeats::next_timer(state),
         membership.last_timer + state.settings.heartbeat_interval});
}

} // namespace jaydrift::decide::membership
