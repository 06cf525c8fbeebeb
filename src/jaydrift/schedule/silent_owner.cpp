#include <jaydrift/schedule/silent_owner.hpp>

#include <jaydrift/schedule/event.hpp>
#include <jaydrift/schedule/shard_context.hpp>
#include <jaydrift/schedule/shard_key.hpp>
#include <jaydrift/schedule/store_session.hpp>

#include <string>
#include <utility>

namespace jaydrift::schedule::silent_owner {

namespace {

/// An owner is suspected to be dead after this many heartbeat intervals without
/// a heartbeat. A single datagram may be lost.
constexpr std::int64_t max_missed_heartbeats = 4;

/// The store is asked for the first time after this many.
constexpr std::int64_t missed_heartbeats_before_read = 2;

/// An owner that no daemon hears keeps its shard for this long by its writes.
/// After that it is taken to be cut off from the other daemons, which cannot
/// forward calls to it.
constexpr time_ms max_silence_of_writer{3000};

constexpr time_ms read_time_limit{500};

void read_serial(shard_context& ctx)
{
    ctx.shard.ownership.silence->read = store_session::call(
        ctx, store_purpose::read_serial,
        read_record{shard_key(ctx, record_kind::serial)}, read_time_limit);
}

std::uint64_t serial_revision_in(shard_context const& ctx,
                                 store_replied const& reply)
{
    for (auto const& item : reply.items)
    {
        if (item.key == shard_key(ctx, record_kind::serial))
        {
            return item.revision;
        }
    }
    return 0;
}

/// The owner has written since the last read, so it is alive.
void keep_owner(shard_context& ctx)
{
    auto& ownership = ctx.shard.ownership;
    ctx.log(log_level::info, "ownership",
            "shard " + std::to_string(ctx.shard.number) + " stays with "
                + ownership.record.node + ", not heard for "
                + std::to_string((ctx.now - ownership.silence->since).count())
                + " ms, but it writes to the store");
    ctx.count("owners_kept_total", "writes");
    ownership.owner_alive_at = ctx.now;
    ownership.queried_at.reset();
}

} // namespace

time_ms suspect_after(ownership_state const& ownership)
{
    return ownership.heartbeat_interval * max_missed_heartbeats;
}

void heard(ownership_state& ownership, time_ms at)
{
    ownership.owner_alive_at = at;
    ownership.queried_at.reset();
    ownership.silence.reset();
}

void watch(shard_context& ctx)
{
    auto& ownership = ctx.shard.ownership;
    if (ownership.silence || ownership.revision == 0
        || ctx.now - ownership.owner_alive_at
               < ownership.heartbeat_interval * missed_heartbeats_before_read)
    {
        return;
    }
    ownership.silence = owner_silence{ownership.owner_alive_at, {}, {}, false};
    read_serial(ctx);
}

bool may_claim(shard_context& ctx)
{
    auto& silence = ctx.shard.ownership.silence;
    if (!silence || !silence->serial_revision
        || ctx.now - silence->since >= max_silence_of_writer)
    {
        return true;
    }
    silence->before_claim = true;
    if (!silence->read)
    {
        read_serial(ctx);
    }
    return false;
}

bool serial_read(shard_context& ctx, store_replied const& reply)
{
    auto& silence = ctx.shard.ownership.silence;
    if (!silence || silence->read != reply.call)
    {
        return false;
    }
    silence->read.reset();
    auto const before_claim = std::exchange(silence->before_claim, false);
    if (reply.status != store_status::ok
        && reply.status != store_status::not_found)
    {
        return before_claim;
    }
    auto const revision = serial_revision_in(ctx, reply);
    auto const previous = std::exchange(silence->serial_revision, revision);
    if (previous && revision > *previous)
    {
        keep_owner(ctx);
        return false;
    }
    return before_claim;
}

} // namespace jaydrift::schedule::silent_owner
