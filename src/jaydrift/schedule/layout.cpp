#include <jaydrift/schedule/layout.hpp>

#include <jaydrift/core/hash.hpp>
#include <jaydrift/schedule/context.hpp>
#include <jaydrift/schedule/event.hpp>
#include <jaydrift/schedule/limits.hpp>
#include <jaydrift/schedule/store_session.hpp>

#include <algorithm>
#include <functional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace jaydrift::schedule::layout {

namespace {

/// Tasks are packed best by a single owner. There is one shard if an owner has
/// at most this many workers, times the share of a core that it can be expected
/// to have; the owner then needs two fifths of its core (docs/CAPACITY.md).
constexpr double workers_per_core = 800.0;

/// A single owner has at most this many workers, however large its share is.
constexpr std::size_t max_workers_of_single_owner = 400;

/// Size of a shard if there are more workers. It costs the owner about 3.6 % of
/// a core, the budget of a daemon.
constexpr std::size_t workers_per_shard = 120;

/// An owner can be expected to have the share of a core that the daemon of this
/// rank has: at any time, daemons with larger shares may be down.
constexpr std::size_t reliable_rank = 3;

/// Bounds the state and the heartbeats that each daemon keeps for other shards.
constexpr std::size_t max_shards = limits::max_shards;

/// Daemons register within about a second of their start.
constexpr time_ms settle_time{1000};

/// Time between two counts. Workers register within a few seconds of each
/// other; if two counts are equal, all of them have.
constexpr time_ms count_interval{600};

/// The layout is written after this time even if the number of workers still
/// changes.
constexpr time_ms max_count_time{6000};

/// The first daemon by name counts the workers. The others do so after this
/// time if there is still no layout.
constexpr time_ms fallback_wait{8000};
constexpr std::uint64_t fallback_jitter_ms = 500;
constexpr time_ms read_time_limit{1500};
constexpr time_ms write_time_limit{600};

record_key const layout_key{record_kind::layout, {}};

/// Returns the share of a core that an owner can be expected to have.
double owner_share(daemon_state const& state)
{
    std::vector<double> shares{state.options.cpu_share};
    for (auto const& [node, member] : state.members)
    {
        shares.push_back(member.cpu_share);
    }
    std::sort(shares.begin(), shares.end(), std::greater<>());
    return shares[std::min(reliable_rank, shares.size()) - 1];
}

/// Returns the number of shards for the workers if owners have the given share
/// of a core.
std::uint32_t shard_count_for(std::size_t workers, double share)
{
    auto const limit =
        std::clamp(static_cast<std::size_t>(share * workers_per_core),
                   std::size_t{1}, max_workers_of_single_owner);
    if (workers <= limit)
    {
        return 1;
    }
    auto const shard_size = std::min(limit, workers_per_shard);
    return static_cast<std::uint32_t>(std::clamp<std::size_t>(
        (workers + shard_size / 2) / shard_size, 2, max_shards));
}

} // namespace

std::uint32_t first_shard_of(std::string_view id, std::size_t count)
{
    return static_cast<std::uint32_t>(stable_hash(id) % count);
}

std::uint32_t second_shard_of(std::string_view id, std::size_t count)
{
    constexpr std::uint64_t second_seed = 1;
    auto const first = first_shard_of(id, count);
    if (count < 2)
    {
        return first;
    }
    auto const distance = 1 + stable_hash(id, second_seed) % (count - 1);
    return static_cast<std::uint32_t>((first + distance) % count);
}

bool holds_any_shard(daemon_state const& state)
{
    return std::any_of(
        state.shards.begin(), state.shards.end(),
        [](auto const& each) { return holds_shard(each.ownership.role); });
}

void observe(context& ctx, layout_record const& record)
{
    ctx.state.layout.absent = false;
    if (!ctx.state.shards.empty())
    {
        if (record.shards != ctx.state.shards.size())
        {
            ctx.log(log_level::error, "layout",
                    "the layout in the store now has "
                        + std::to_string(record.shards)
                        + " shards; restart this daemon to apply it");
        }
        return;
    }
    ctx.state.shards.resize(
        std::clamp<std::size_t>(record.shards, 1, max_shards));
    for (std::uint32_t number = 0; number < ctx.state.shards.size(); ++number)
    {
        auto& shard = ctx.state.shards[number];
        shard.number = number;
        shard.ownership.owner_alive_at = ctx.now;
        shard.ownership.role_since = ctx.now;
    }
    ctx.log(log_level::info, "layout",
            std::to_string(ctx.state.shards.size()) + " shards");
}

void observe_item(context& ctx, store_item const& item)
{
    if (auto const* const record = std::get_if<layout_record>(&item.record))
    {
        observe(ctx, *record);
        return;
    }
    observe_absence(ctx);
    ctx.state.layout.revision = item.revision;
}

void observe_shard(context& ctx, std::uint32_t shard)
{
    ctx.state.layout.known_shards =
        std::max(ctx.state.layout.known_shards, shard + 1);
}

void observe_absence(context& ctx)
{
    if (ctx.state.shards.empty() && !ctx.state.layout.absent)
    {
        ctx.state.layout.absent = true;
        ctx.state.layout.absent_since = ctx.now;
        ctx.state.layout.next_count = ctx.now + settle_time;
        // The jitter keeps the other daemons from counting all at once.
        auto const jitter = static_cast<std::int64_t>(
            ctx.state.random.below(fallback_jitter_ms));
        ctx.state.layout.fallback_at =
            ctx.now + fallback_wait + time_ms(jitter);
    }
}

void workers_counted(context& ctx, store_replied const& reply)
{
    if (reply.status != store_status::ok || !ctx.state.layout.absent)
    {
        return;
    }
    auto const workers = static_cast<std::size_t>(std::count_if(
        reply.items.begin(), reply.items.end(), [](store_item const& item) {
            return std::holds_alternative<worker_entry>(item.record);
        }));
    auto const previous = std::exchange(ctx.state.layout.worker_count, workers);
    auto const count_settled = workers > 0 && workers == previous;
    if (!count_settled
        && ctx.now - ctx.state.layout.absent_since < max_count_time)
    {
        return;
    }
    store_transaction write;
    write.expected.emplace_back(layout_key, ctx.state.layout.revision);
    // A layout that was overwritten had these shards.
    auto const known = ctx.state.layout.known_shards;
    write.puts.emplace_back(
        layout_key,
        layout_record{known > 0
                          ? known
                          : shard_count_for(workers, owner_share(ctx.state))});
    store_session::call(ctx, store_purpose::write_layout, std::move(write),
                        write_time_limit);
}

void tick(context& ctx)
{
    auto const first_by_name =
        ctx.state.members.empty()
        || ctx.state.options.node < ctx.state.members.begin()->first;
    if (ctx.state.layout.absent && ctx.state.config && !ctx.state.stopping_since
        && ctx.now >= ctx.state.layout.next_count
        && (first_by_name || ctx.now >= ctx.state.layout.fallback_at))
    {
        ctx.state.layout.next_count = ctx.now + count_interval;
        store_session::call(ctx, store_purpose::count_workers,
                            read_area{store_area::workers}, read_time_limit);
    }
}

} // namespace jaydrift::schedule::layout
