#include <jaydrift/schedule/heartbeats.hpp>

#include <jaydrift/schedule/candidates.hpp>
#include <jaydrift/schedule/heartbeat.hpp>
#include <jaydrift/schedule/relocation.hpp>
#include <jaydrift/schedule/shard_context.hpp>

#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace jaydrift::schedule::heartbeats {

namespace {

/// Interval for daemons that do not rank first as successors.
constexpr time_ms slow_heartbeat_interval{900};

/// Growth of a shard's load, in thousandths, that is reported ahead of the next
/// heartbeat: hundreds of submissions may arrive between two heartbeats.
constexpr std::int64_t announced_load_growth = 10;

constexpr time_ms min_announcement_interval{8};

/// Number of candidates that get heartbeats at the short interval: enough that
/// one of them is alive after the loss of an availability zone.
constexpr std::size_t short_interval_candidates = 7;

/// Once the store has not answered for this long, the owner sends heartbeats to
/// all members at the short interval. Their replies distinguish an outage of
/// the store from a network partition.
constexpr time_ms store_suspected_after{600};

heartbeat make_heartbeat(shard_context const& ctx)
{
    auto const& ownership = ctx.shard.ownership;
    return {
        ctx.shard.number,   ctx.state.options.node, ctx.state.options.address,
        ownership.revision, ownership.record.term,  heartbeat_interval,
        ctx.shard.load};
}

} // namespace

void send(shard_context& ctx)
{
    auto& ownership = ctx.shard.ownership;
    if (ctx.now < ownership.next_heartbeat)
    {
        return;
    }
    ownership.next_heartbeat = ctx.now + heartbeat_interval;
    if (ctx.state.shards.size() > 1)
    {
        ctx.shard.load = relocation::measure_load(ctx);
        ctx.shard.announced_load = ctx.shard.load;
    }
    auto const to_all =
        ctx.now >= ownership.next_full_heartbeat
        || ctx.now - ctx.state.store.last_success >= store_suspected_after;
    if (to_all)
    {
        ownership.next_full_heartbeat = ctx.now + slow_heartbeat_interval;
    }
    auto message = make_heartbeat(ctx);
    std::size_t rank = 0;
    for (auto const& each : candidates::ranked(ctx))
    {
        // Owners of other shards need the load for relocations.
        auto const short_interval =
            rank++ < short_interval_candidates || each.other_shards > 0;
        message.interval =
            short_interval ? heartbeat_interval : slow_heartbeat_interval;
        if (each.member && (short_interval || to_all))
        {
            ctx.emit(send_message{each.member->address, message});
        }
    }
}

void announce_load(shard_context& ctx)
{
    auto const growth = std::max(
        ctx.shard.load.firm - ctx.shard.announced_load.firm,
        ctx.shard.load.opportunistic - ctx.shard.announced_load.opportunistic);
    if (growth < announced_load_growth
        || ctx.now - ctx.shard.load_announced_at < min_announcement_interval)
    {
        return;
    }
    ctx.shard.announced_load = ctx.shard.load;
    ctx.shard.load_announced_at = ctx.now;
    auto const message = make_heartbeat(ctx);
    for (auto const& each : candidates::ranked(ctx))
    {
        if (each.member && each.other_shards > 0)
        {
            ctx.emit(send_message{each.member->address, message});
        }
    }
}

} // namespace jaydrift::schedule::heartbeats
