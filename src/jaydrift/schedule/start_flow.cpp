#include <jaydrift/schedule/start_flow.hpp>

#include <jaydrift/schedule/event.hpp>
#include <jaydrift/schedule/layout.hpp>
#include <jaydrift/schedule/shard_context.hpp>
#include <jaydrift/schedule/start_order.hpp>

namespace jaydrift::schedule::start_flow {

namespace {

/// Bytes of an order beside its payload: headers, names and the reply.
constexpr std::int64_t overhead_bytes = 350;

constexpr time_ms gauge_interval{1000};

} // namespace

std::int64_t size_of(start_order const& order)
{
    return overhead_bytes
           + static_cast<std::int64_t>(order.payload.size()
                                       + order.checkpoint.size());
}

bool may_start(shard_context& ctx)
{
    auto& flow = ctx.state.start_flow;
    if (flow.window.open())
    {
        return true;
    }
    if (!flow.held_back)
    {
        ctx.count("starts_held_back_total", "");
    }
    flow.held_back = true;
    return false;
}

void sent(context& ctx, std::int64_t bytes)
{
    ctx.state.start_flow.window.sent(bytes);
}

void ended(context& ctx, pending_worker_call const& call,
           worker_replied const& reply)
{
    if (call.bytes == 0)
    {
        return;
    }
    auto& flow = ctx.state.start_flow;
    if (reply.status == worker_status::lost
        || reply.status == worker_status::not_sent)
    {
        flow.window.dropped(call.bytes);
    }
    else
    {
        flow.window.replied(call.bytes, ctx.now - call.sent_at, ctx.now);
    }
    if (flow.held_back && flow.window.has_room())
    {
        flow.held_back = false;
        for (auto& shard : ctx.state.shards)
        {
            shard.placement_due = shard.placement_due
                                  || shard.ownership.role == owner_role::owner;
        }
    }
}

void forget(shard_context& ctx)
{
    for (auto const& [number, call] : ctx.state.worker_calls)
    {
        if (call.shard == ctx.shard.number)
        {
            ctx.state.start_flow.window.dropped(call.bytes);
        }
    }
}

void forget(shard_context& ctx, std::string_view worker)
{
    for (auto const& [number, call] : ctx.state.worker_calls)
    {
        if (call.shard == ctx.shard.number && call.worker == worker)
        {
            ctx.state.start_flow.window.dropped(call.bytes);
        }
    }
}

void tick(context& ctx)
{
    auto& flow = ctx.state.start_flow;
    if (ctx.now < flow.next_gauges || !layout::holds_any_shard(ctx.state))
    {
        return;
    }
    flow.next_gauges = ctx.now + gauge_interval;
    ctx.gauge("start_orders_bytes", "in_flight", flow.window.in_flight_bytes());
    ctx.gauge("start_orders_bytes", "window", flow.window.window_bytes());
    ctx.gauge("queueing_delay_ms", "start_orders",
              flow.window.queueing_delay().count());
}

} // namespace jaydrift::schedule::start_flow
