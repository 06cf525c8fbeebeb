#include <jaydrift/decide/heartbeats.hpp>

#include <jaydrift/decide/context.hpp>
#include <jaydrift/decide/membership.hpp>
#include <jaydrift/decide/ownership.hpp>
#include <jaydrift/decide/policy.hpp>
#include <jaydrift/decide/stop.hpp>

#include <algorithm>
#include <limits>

namespace jaydrift::decide {

namespace {

// Daemons that are not live are contacted this many times less often.
constexpr std::int64_t not_live_factor = 4;

heartbeat own_heartbeat(context& ctx)
{
    auto const& state = ctx.state;
    return {state.settings.self, stop::requested(state), policy::version(state),
            ownership::owned_shards(state, ctx.now),
            policy::early_closed(state)};
}

void apply_heartbeat(context& ctx, heartbeat const& message)
{
    if (message.sender.daemon == ctx.state.settings.self.daemon)
    {
        return;
    }
    auto& view = ctx.state.membership.members[message.sender.daemon];
    view.member = message.sender;
    view.heard_at = ctx.now;
    view.next_heartbeat = ctx.now + ctx.state.settings.heartbeat_interval;
    view.last_heartbeat = message;
    policy::on_early_closed(ctx, message.early_closed);
    for (auto const& owned : message.shards)
    {
        ownership::on_epoch_seen(ctx, owned.shard, owned.epoch);
    }
}

} // namespace

namespace heartbeats {

void advance(context& ctx)
{
    auto const interval = ctx.state.settings.heartbeat_interval;
    for (auto& [name, view] : ctx.state.membership.members)
    {
        if (ctx.now < view.next_heartbeat)
        {
            continue;
        }
        bool const is_live = membership::live(ctx.state, name, ctx.now);
        view.next_heartbeat =
            ctx.now
            + time_ms(interval.count() * (is_live ? 1 : not_live_factor));
        ctx.ask_peer(reducer_module::membership, view.member,
                     own_heartbeat(ctx));
    }
}

time_ms next_timer(daemon_state const& state)
{
    auto result = time_ms(std::numeric_limits<std::int64_t>::max());
    for (auto const& [name, view] : state.membership.members)
    {
        result = std::min(result, view.next_heartbeat);
    }
    return result;
}

} // namespace heartbeats

namespace membership {

void on_heartbeat(context& ctx, peer_called const& call,
                  heartbeat const& message)
{
    apply_heartbeat(ctx, message);
    ctx.emit(answer_peer{call.call, own_heartbeat(ctx)});
}

void on_peer_replied(context& ctx, peer_replied const& event)
{
    if (auto const* message = std::get_if<heartbeat>(&event.reply))
    {
        apply_heartbeat(ctx, *message);
    }
}

void on_peer_failed(context&, peer_failed const&) {}

} // namespace membership

} // namespace jaydrift::decide
