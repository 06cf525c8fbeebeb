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

/// Interval for daemons that are not among the first to succeed.
constexpr time_ms slow_heartbeat_interval{900};

/// Growth of a shard's load, in thousandths, that other owners hear of at once:
/// hundreds of submissions may arrive between two heartbeats.
constexpr std::int64_t announced_growth = 10;

constexpr time_ms announcement_pause{8};

/// Daemons that hear the owner at the short interval: enough to find one alive
/// after the loss of a zone.
constexpr std::size_t watching_candidates = 7;

/// An owner that the store has not answered for so long hears all members at
/// the short interval, to tell an outage from a cut.
constexpr time_ms store_doubtful_after{600};

heartbeat make_heartbeat(shard_context const& c)
{
    auto const& owner = c.shard.owner;
    return {c.shard.number, c.s.options.node,  c.s.options.address,
            owner.revision, owner.record.term, heartbeat_interval,
            c.shard.load};
}

} // namespace

void send(shard_context& c)
{
    auto& owner = c.shard.owner;
    if (c.now < owner.next_heartbeat)
    {
        return;
    }
    owner.next_heartbeat = c.now + heartbeat_interval;
    if (c.s.shards.size() > 1)
    {
        c.shard.load = relocation::measure(c);
        c.shard.announced_load = c.shard.load;
    }
    auto const all = c.now >= owner.next_full_heartbeat
                     || c.now - c.s.store.last_success >= store_doubtful_after;
    if (all)
    {
        owner.next_full_heartbeat = c.now + slow_heartbeat_interval;
    }
    auto message = make_heartbeat(c);
    std::size_t rank = 0;
    for (auto const& each : candidates::ranked(c))
    {
        // Owners of other shards follow the load.
        auto const often = rank++ < watching_candidates || each.others > 0;
        message.interval = often ? heartbeat_interval : slow_heartbeat_interval;
        if (each.member && (often || all))
        {
            c.emit(send_message{each.member->address, message});
        }
    }
}

void announce_load(shard_context& c)
{
    auto const growth = std::max(
        c.shard.load.firm - c.shard.announced_load.firm,
        c.shard.load.opportunistic - c.shard.announced_load.opportunistic);
    if (growth < announced_growth
        || c.now - c.shard.load_announced_at < announcement_pause)
    {
        return;
    }
    c.shard.announced_load = c.shard.load;
    c.shard.load_announced_at = c.now;
    auto const message = make_heartbeat(c);
    for (auto const& each : candidates::ranked(c))
    {
        if (each.member && each.others > 0)
        {
            c.emit(send_message{each.member->address, message});
        }
    }
}

} // namespace jaydrift::schedule::heartbeats
