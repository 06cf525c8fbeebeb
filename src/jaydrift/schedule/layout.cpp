#include <jaydrift/schedule/layout.hpp>

#include <jaydrift/core/hash.hpp>
#include <jaydrift/schedule/context.hpp>
#include <jaydrift/schedule/event.hpp>
#include <jaydrift/schedule/store_session.hpp>

#include <algorithm>
#include <functional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace jaydrift::schedule::layout {

namespace {

/// One owner packs best, and serves this many workers with two fifths of its
/// core (docs/CAPACITY.md): per core, and at most.
constexpr double workers_per_core = 800.0;
constexpr std::size_t workers_of_one_owner = 400;

/// With more workers, each owner has so many: about 3.6 % of a core, the budget
/// of a daemon.
constexpr std::size_t workers_per_shard = 120;

/// The daemons that are expected to live at any time count from this rank.
constexpr std::size_t reliable_rank = 3;

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

/// Returns the share of a core of the daemons that are likely to be owners.
double owner_share(state const& s)
{
    std::vector<double> shares{s.options.cpu_share};
    for (auto const& [node, member] : s.members)
    {
        shares.push_back(member.cpu_share);
    }
    std::sort(shares.begin(), shares.end(), std::greater<>());
    return shares[std::min(reliable_rank, shares.size()) - 1];
}

std::uint32_t shards_for(std::size_t workers, double share)
{
    auto const limit =
        std::clamp(static_cast<std::size_t>(share * workers_per_core),
                   std::size_t{1}, workers_of_one_owner);
    if (workers <= limit)
    {
        return 1;
    }
    auto const each = std::min(limit, workers_per_shard);
    return static_cast<std::uint32_t>(
        std::clamp<std::size_t>((workers + each / 2) / each, 2, max_shards));
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
    write.puts.emplace_back(
        layout_key, layout_record{shards_for(workers, owner_share(c.s))});
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
