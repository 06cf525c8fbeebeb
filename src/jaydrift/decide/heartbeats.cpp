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

// Daemons that do not answer are contacted this many times less often.
constexpr std::int64_t silent_factor = 4;

heartbeat own_heartbeat(context& step)
{
    auto const& state = step.state;
    return {state.settings.self, stop::requested(state), policy::version(state),
            ownership::owned(state, step.now), policy::early_closed(state)};
}

void take_heartbeat(context& step, heartbeat const& beat)
{
    if (beat.sender.daemon == step.state.settings.self.daemon)
    {
        return;
    }
    auto& view = step.state.membership.members[beat.sender.daemon];
    view.member = beat.sender;
    view.heard_at = step.now;
    view.next_beat = step.now + step.state.settings.heartbeat_interval;
    view.last = beat;
    policy::on_early_closed(step, beat.early_closed);
    for (auto const& claim : beat.shards)
    {
        ownership::on_stale_epoch(step, claim.shard, claim.epoch);
    }
}

} // namespace

namespace heartbeats {

void drive(context& step)
{
    auto const interval = step.state.settings.heartbeat_interval;
    for (auto& [name, view] : step.state.membership.members)
    {
        if (step.now < view.next_beat)
        {
            continue;
        }
        bool const answers = membership::live(step.state, name, step.now);
        view.next_beat =
            step.now
            + time_ms(interval.count() * (answers ? 1 : silent_factor));
        step.ask_peer(part::membership, view.member, own_heartbeat(step));
    }
}

time_ms next_timer(daemon_state const& state)
{
    auto result = time_ms(std::numeric_limits<std::int64_t>::max());
    for (auto const& [name, view] : state.membership.members)
    {
        result = std::min(result, view.next_beat);
    }
    return result;
}

} // namespace heartbeats

namespace membership {

void on_heartbeat(context& step, peer_called const& call, heartbeat const& beat)
{
    take_heartbeat(step, beat);
    step.emit(answer_peer{call.call, own_heartbeat(step)});
}

void on_peer_replied(context& step, peer_replied const& event)
{
    if (auto const* beat = std::get_if<heartbeat>(&event.reply))
    {
        take_heartbeat(step, *beat);
    }
}

void on_peer_failed(context&, peer_failed const&) {}

} // namespace membership

} // namespace jaydrift::decide
