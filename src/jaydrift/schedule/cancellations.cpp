#include <jaydrift/schedule/cancellations.hpp>

#include <jaydrift/schedule/calls.hpp>
#include <jaydrift/schedule/record_log.hpp>
#include <jaydrift/schedule/shard_context.hpp>

#include <cstddef>
#include <utility>
#include <vector>

namespace jaydrift::schedule::cancellations {

namespace {

/// Bounds the memory of an owner and, with the retention, its writes: a flood
/// of cancels costs the store at most this many entries in that time.
constexpr std::size_t max_cancellations = 2000;

constexpr time_ms expiry_interval{5000};

} // namespace

cancellation_state* find(shard_context& ctx, std::string_view id)
{
    auto const found = ctx.shard.cancellations.find(id);
    return found == ctx.shard.cancellations.end() ? nullptr : &found->second;
}

bool add(shard_context& ctx, std::uint64_t call, std::string const& id)
{
    if (ctx.shard.cancellations.size() >= max_cancellations)
    {
        ctx.count("cancellations_refused_total", "");
        return false;
    }
    auto& added = ctx.shard.cancellations[id];
    added.record = {id, ctx.wall_time()};
    added.waiters.push_back(call);
    ctx.shard.record_log.new_cancellations.push_back(id);
    record_log::flush_soon(ctx);
    ctx.log_work(log_level::info, "call",
                 id
                     + " is not known and was cancelled, it is refused from now"
                       " on");
    return true;
}

void restore(shard_context& ctx, cancellation_record const& record)
{
    ctx.shard.cancellations[record.id] = {record, true, {}};
}

void stored(shard_context& ctx, std::string_view id)
{
    auto* const cancelled = find(ctx, id);
    if (!cancelled)
    {
        return;
    }
    cancelled->stored = true;
    for (auto const call : std::exchange(cancelled->waiters, {}))
    {
        calls::cancellation_stored(ctx, call, id);
    }
}

void tick(shard_context& ctx)
{
    if (ctx.shard.ownership.role != owner_role::owner
        || ctx.now < ctx.shard.next_cancellation_expiry)
    {
        return;
    }
    ctx.shard.next_cancellation_expiry = ctx.now + expiry_interval;
    std::erase_if(ctx.shard.cancellations, [&ctx](auto const& each) {
        auto const& [id, cancelled] = each;
        auto const expired = cancelled.stored
                             && ctx.wall_time() - cancelled.record.cancelled_at
                                    >= ctx.state.options.retention;
        if (expired)
        {
            ctx.shard.record_log.expired_cancellations.push_back(id);
        }
        return expired;
    });
}

} // namespace jaydrift::schedule::cancellations
