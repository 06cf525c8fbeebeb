#include <jaydrift/schedule/relay_choice.hpp>

#include <jaydrift/schedule/context.hpp>
#include <jaydrift/schedule/relay.hpp>
#include <jaydrift/schedule/relayed_view.hpp>
#include <jaydrift/schedule/silent_calls.hpp>

#include <algorithm>
#include <cstddef>
#include <string_view>
#include <tuple>

namespace jaydrift::schedule::relay_choice {

namespace {

/// What the store has answered to this daemon shows that another daemon's view
/// is out of date only if the call was sent this long after that view was
/// current: two replies to a watch, and some delay.
constexpr time_ms evident_lag{1100};

/// A daemon whose view is out of date gets this time to catch up. After an
/// outage of the store, it needs that to notice the return.
constexpr time_ms catch_up_time{500};

/// The same if a reply of the store is on its way to that daemon. If all
/// daemons asked the store for it, it would take even longer.
constexpr time_ms receiving_time{2500};

/// The daemon that is asked after that one gets only this time: an outage of
/// the store would be over by then.
constexpr time_ms next_catch_up_time{200};

/// A daemon that has given no current view is not asked again for this time. It
/// doubles with each failure in a row.
constexpr time_ms avoid_time{3000};
constexpr std::uint32_t max_doublings = 3;

/// Daemons without a current view before this daemon asks the store. One that
/// has just started is not ready before it has a view, so it asks only one.
constexpr std::size_t max_avoided = 2;
constexpr std::size_t max_avoided_at_start = 1;

/// A daemon that may read the operators' area for its region.
struct relay_candidate
{
    std::string_view node;
    double cpu_share = 0.0;
    bool owner = false;

    /// Orders the better candidate first. An owner has more to do.
    bool operator<(relay_candidate const& other) const
    {
        return std::tie(other.cpu_share, owner, node)
               < std::tie(cpu_share, other.owner, other.node);
    }
};

bool owns_any_shard(daemon_state const& state, std::string_view node)
{
    return std::any_of(state.shards.begin(), state.shards.end(),
                       [node](auto const& each) {
                           return each.ownership.revision != 0
                                  && each.ownership.record.node == node;
                       });
}

bool is_avoided(context const& ctx, std::string_view node)
{
    auto const found = ctx.state.relay.avoided.find(node);
    return found != ctx.state.relay.avoided.end()
           && ctx.now < found->second.until;
}

void avoid(context& ctx, std::string const& node, std::string_view reason)
{
    auto& entry = ctx.state.relay.avoided[node];
    auto const pause =
        avoid_time
        * (std::int64_t{1} << std::min(entry.failures, max_doublings));
    entry.until = ctx.now + pause;
    ++entry.failures;
    ctx.count("relay_failures_total", "");
    ctx.log(log_level::warning, "config",
            "not asking " + node + " for the operators' area for "
                + std::to_string(pause.count())
                + " ms: " + std::string(reason));
}

} // namespace

std::optional<std::string> source(context const& ctx)
{
    auto const& options = ctx.state.options;
    if (options.region.empty() || ctx.state.stopping_since)
    {
        return std::nullopt;
    }
    relay_candidate best{options.node, options.cpu_share,
                         owns_any_shard(ctx.state, options.node)};
    std::size_t avoided = 0;
    for (auto const& [node, member] : ctx.state.members)
    {
        if (member.region != options.region)
        {
            continue;
        }
        if (is_avoided(ctx, node))
        {
            ++avoided;
            continue;
        }
        best = std::min(best, relay_candidate{node, member.cpu_share,
                                              owns_any_shard(ctx.state, node)});
    }
    auto const limit =
        ctx.state.store.operators.loaded ? max_avoided : max_avoided_at_start;
    return best.node == options.node || avoided >= limit
               ? std::nullopt
               : std::optional(std::string(best.node));
}

bool may_wait(context const& ctx)
{
    auto const& coordination = ctx.state.store.coordination;
    return !ctx.state.options.region.empty() && !coordination.current_at
           && coordination.failures == 0;
}

bool answered(context& ctx, std::string const& node, time_ms sent_at,
              relayed_view const& view)
{
    auto& state = ctx.state.relay;
    if (view.age < relay::max_age)
    {
        state.catch_up_until.reset();
        state.avoided.erase(node);
        return true;
    }
    auto const current_at = sent_at - view.lag;
    auto const heard = ctx.state.store.answered_sent_at;
    if (!heard || *heard - current_at < evident_lag)
    {
        // Nothing shows that the store would answer this daemon any better.
        state.catch_up_until.reset();
        if (ctx.now >= ctx.state.store.next_probe)
        {
            silent_calls::probe(ctx);
        }
        return false;
    }
    if (!state.catch_up_until)
    {
        state.catch_up_until = ctx.now + catch_up_time;
        state.receive_until = ctx.now + receiving_time;
    }
    if (view.receiving)
    {
        state.catch_up_until = state.receive_until;
    }
    if (ctx.now >= *state.catch_up_until)
    {
        state.catch_up_until = ctx.now + next_catch_up_time;
        state.receive_until = ctx.now + receiving_time;
        avoid(ctx, node,
              "its view is " + std::to_string(view.age.count())
                  + " ms old, but the store has answered a call that was sent "
                  + std::to_string((ctx.now - *heard).count()) + " ms ago");
    }
    return false;
}

void failed(context& ctx, std::string const& node)
{
    avoid(ctx, node, "it has not answered");
}

} // namespace jaydrift::schedule::relay_choice
