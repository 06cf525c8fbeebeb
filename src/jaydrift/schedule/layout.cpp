#include <jaydrift/schedule/layout.hpp>

#include <jaydrift/core/hash.hpp>
#include <jaydrift/schedule/context.hpp>
#include <jaydrift/schedule/event.hpp>
#include <jaydrift/schedule/store_session.hpp>

#include <algorithm>
#include <string>
#include <utility>
#include <variant>

namespace jaydrift::schedule::layout {

namespace {

/// An owner of so many workers needs about 3.6 % of a core, the budget of a
/// daemon (docs/CAPACITY.md). Smaller shards pack less well.
constexpr std::size_t workers_per_shard = 140;

/// Bounds what each daemon keeps and hears of other shards.
constexpr std::size_t max_shards = 64;

/// Daemons register within about a second of their start.
constexpr time_ms settle_time{1000};

/// Workers register over a few seconds; two equal counts at this distance mean
/// that all have.
constexpr time_ms count_interval{600};

/// The layout is written after this with the workers that there are.
constexpr time_ms longest_count{6000};

/// The first daemon by name counts; the others do if it has not finished.
constexpr time_ms deputy_wait{8000};
constexpr std::uint64_t deputy_jitter_ms = 500;
constexpr time_ms read_limit{1500};
constexpr time_ms write_limit{600};

record_key const layout_key{record_kind::layout, {}};

std::uint32_t shards_for(std::size_t workers)
{
    auto const wanted = (workers + workers_per_shard / 2) / workers_per_shard;
    return static_cast<std::uint32_t>(
        std::clamp<std::size_t>(wanted, 1, max_shards));
}

} // namespace

std::uint32_t shard_of(std::string_view id, std::size_t count)
{
    return static_cast<std::uint32_t>(stable_hash(id) % count);
}

std::uint32_t second_shard_of(std::string_view id, std::size_t count)
{
    constexpr std::uint64_t second_seed = 1;
    auto const first = shard_of(id, count);
    if (count < 2)
    {
        return first;
    }
    auto const distance = 1 + stable_hash(id, second_seed) % (count - 1);
    return static_cast<std::uint32_t>((first + distance) % count);
}

bool holds_any(state const& s)
{
    return std::any_of(s.shards.begin(), s.shards.end(), [](auto const& each) {
        return holds_shard(each.owner.role);
    });
}

void observe(context& c, layout_record const& record)
{
    c.s.layout.absent = false;
    if (!c.s.shards.empty())
    {
        if (record.shards != c.s.shards.size())
        {
            c.log(log_level::error, "layout",
                  "the store now tells of " + std::to_string(record.shards)
                      + " shards; restart this daemon to follow");
        }
        return;
    }
    c.s.shards.resize(std::clamp<std::size_t>(record.shards, 1, max_shards));
    for (std::uint32_t i = 0; i < c.s.shards.size(); ++i)
    {
        auto& shard = c.s.shards[i];
        shard.number = i;
        shard.owner.heard_at = c.now;
        shard.owner.role_since = c.now;
    }
    c.log(log_level::info, "layout",
          std::to_string(c.s.shards.size()) + " shards");
}

void observe_absence(context& c)
{
    if (c.s.shards.empty() && !c.s.layout.absent)
    {
        c.s.layout.absent = true;
        c.s.layout.absent_since = c.now;
        c.s.layout.next_count = c.now + settle_time;
        auto const jitter =
            static_cast<std::int64_t>(c.s.random.below(deputy_jitter_ms));
        c.s.layout.deputy_at = c.now + deputy_wait + time_ms(jitter);
    }
}

void workers_counted(context& c, store_replied const& reply)
{
    if (reply.status != store_status::ok || !c.s.layout.absent)
    {
        return;
    }
    auto const workers = static_cast<std::size_t>(std::count_if(
        reply.items.begin(), reply.items.end(), [](store_item const& item) {
            return std::holds_alternative<worker_entry>(item.record);
        }));
    auto const before = std::exchange(c.s.layout.workers, workers);
    auto const settled = workers > 0 && workers == before;
    if (!settled && c.now - c.s.layout.absent_since < longest_count)
    {
        return;
    }
    commit write;
    write.expected.emplace_back(layout_key, 0);
    write.puts.emplace_back(layout_key, layout_record{shards_for(workers)});
    store::call(c, store_purpose::write_layout, std::move(write), write_limit);
}

void tick(context& c)
{
    auto const first =
        c.s.members.empty() || c.s.options.node < c.s.members.begin()->first;
    if (c.s.layout.absent && c.s.config && !c.s.stopping_since
        && c.now >= c.s.layout.next_count
        && (first || c.now >= c.s.layout.deputy_at))
    {
        c.s.layout.next_count = c.now + count_interval;
        store::call(c, store_purpose::count_workers,
                    read_area{store_area::workers}, read_limit);
    }
}

} // namespace jaydrift::schedule::layout
