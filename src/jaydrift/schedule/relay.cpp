#include <jaydrift/schedule/relay.hpp>

#include <jaydrift/schedule/configuration_changes.hpp>
#include <jaydrift/schedule/context.hpp>
#include <jaydrift/schedule/event.hpp>

#include <algorithm>
#include <optional>
#include <vector>

namespace jaydrift::schedule::relay {

namespace {

/// Other daemons follow the view of this one if one has asked within this time.
constexpr time_ms following_time{2000};

/// Longest wait of a call, and that of one for a view that is too old.
constexpr time_ms max_wait{2000};
constexpr time_ms max_wait_for_old_view{200};

bool has_view(context const& ctx)
{
    return ctx.state.config && ctx.state.store.operators.current_at
           && !ctx.state.stopping_since;
}

/// Returns whether there are changes after a revision.
bool has_changes(context const& ctx, std::uint64_t revision)
{
    auto const& relay = ctx.state.relay;
    return has_view(ctx)
           && (revision < relay.history.last_change
               || revision < relay.zones_changed_at);
}

/// Returns whether a reply about the operators' area arrives from the store: it
/// is overdue, but has not been ended as silent.
bool is_receiving(context const& ctx)
{
    auto const& calls = ctx.state.store.calls;
    return std::any_of(calls.begin(), calls.end(), [](auto const& each) {
        auto const& call = each.second;
        return (call.purpose == store_purpose::read_operators
                || call.purpose == store_purpose::watch_operators)
               && call.last_evidence;
    });
}

std::optional<relayed_view> view_for(context const& ctx,
                                     waiting_relay_call const& call)
{
    if (!has_view(ctx))
    {
        return std::nullopt;
    }
    auto const& watch = ctx.state.store.operators;
    relayed_view result;
    result.revision = watch.revision;
    result.age = ctx.now - *watch.current_at;
    result.lag = std::max(time_ms(0), call.arrived_at - *watch.current_at);
    result.receiving = is_receiving(ctx);
    result.config_revision = ctx.state.relay.history.last_change;
    result.config = configuration_changes::since(ctx.state.relay.history,
                                                 *ctx.state.config, call.after);
    result.closed_zones.assign(ctx.state.closed_zones.begin(),
                               ctx.state.closed_zones.end());
    return result;
}

/// Answers the calls for which the condition holds.
template<class Condition>
void answer_if(context& ctx, Condition const& condition)
{
    std::erase_if(ctx.state.relay.waiting, [&](auto const& each) {
        auto const& [number, call] = each;
        if (!condition(call))
        {
            return false;
        }
        ctx.emit(answer_relay_call{number, view_for(ctx, call)});
        return true;
    });
}

} // namespace

void arrived(context& ctx, relay_call_arrived const& call)
{
    ctx.state.relay.asked_at = ctx.now;
    ctx.state.relay.waiting[call.call] = {
        ctx.now, call.after, ctx.now + std::min(call.wait, max_wait)};
    tick(ctx);
}

void view_changed(context& ctx)
{
    answer_if(ctx, [&ctx](waiting_relay_call const& each) {
        return has_changes(ctx, each.after);
    });
}

void tick(context& ctx)
{
    auto const current_at = ctx.state.store.operators.current_at;
    auto const old = current_at && ctx.now - *current_at >= max_age;
    answer_if(ctx, [&ctx, old](waiting_relay_call const& each) {
        return ctx.state.stopping_since || has_changes(ctx, each.after)
               || ctx.now >= each.due_at
               || (old && ctx.now - each.arrived_at >= max_wait_for_old_view);
    });
}

bool has_followers(context const& ctx)
{
    auto const asked_at = ctx.state.relay.asked_at;
    return asked_at && ctx.now - *asked_at < following_time;
}

} // namespace jaydrift::schedule::relay
