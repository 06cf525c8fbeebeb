#include <jaydrift/schedule/candidates.hpp>

#include <jaydrift/core/hash.hpp>
#include <jaydrift/schedule/shard_context.hpp>

#include <algorithm>
#include <map>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>

namespace jaydrift::schedule::candidates {

namespace {

/// A little more than three heartbeat intervals. A peer that has been silent
/// for this long may be dead.
constexpr time_ms peer_silence_limit{500};

/// Time that each candidate leaves the next better one to claim the shard.
constexpr time_ms claim_rank_delay{30};

/// Candidates of lower rank wait no longer than the one of this rank: those
/// before them may all be dead.
constexpr std::size_t last_claim_rank = 10;

/// Daemons of other regions than the owner's wait longer: a saturated link
/// between regions delays heartbeats, and daemons in the owner's region can
/// tell that it is alive.
constexpr time_ms other_region_delay{600};

/// A daemon that would have this many times the load of the best candidate
/// waits longer, for others that may be restarting: it may be too small for the
/// shard.
constexpr double overload_factor = 3.0;
constexpr time_ms overload_delay{1500};

/// Number of shards by the name of their owner.
using owned_shards = std::map<std::string_view, std::uint32_t>;

/// Counts the shards of each daemon, except for the shard of the context. A
/// claim of this daemon that is under way counts.
owned_shards count_owned(shard_context const& ctx)
{
    owned_shards result;
    for (auto const& other : ctx.state.shards)
    {
        if (other.number == ctx.shard.number)
        {
            continue;
        }
        if (other.ownership.role == owner_role::claiming)
        {
            ++result[ctx.state.options.node];
        }
        else if (other.ownership.revision != 0)
        {
            ++result[other.ownership.record.node];
        }
    }
    return result;
}

candidate make_candidate(shard_context const& ctx, owned_shards const& owned,
                         std::string_view node, double cpu_share)
{
    constexpr double smallest_share = 0.01;
    auto const found = owned.find(node);
    candidate result;
    result.other_shards = found == owned.end() ? 0U : found->second;
    result.load =
        (result.other_shards + 1.0) / std::max(smallest_share, cpu_share);
    result.tie_breaker =
        rendezvous_score(std::to_string(ctx.shard.number), node);
    return result;
}

} // namespace

double own_load(shard_context const& ctx)
{
    return make_candidate(ctx, count_owned(ctx), ctx.state.options.node,
                          ctx.state.options.cpu_share)
        .load;
}

std::vector<candidate> ranked(shard_context const& ctx)
{
    auto const owned = count_owned(ctx);
    std::vector<candidate> result;
    auto const add = [&](std::string_view node, double cpu_share,
                         member_state const* member) {
        if (node != ctx.shard.ownership.record.node)
        {
            result.push_back(make_candidate(ctx, owned, node, cpu_share));
            result.back().node = node;
            result.back().member = member;
        }
    };
    add(ctx.state.options.node, ctx.state.options.cpu_share, nullptr);
    for (auto const& [node, member] : ctx.state.members)
    {
        add(node, member.cpu_share, &member);
    }
    std::sort(result.begin(), result.end(),
              [](candidate const& left, candidate const& right) {
                  return std::tie(left.load, left.tie_breaker)
                         < std::tie(right.load, right.tie_breaker);
              });
    return result;
}

std::optional<candidate> best_peer(shard_context const& ctx,
                                   time_ms store_heard_since)
{
    auto const& ownership = ctx.shard.ownership;
    auto eligible = ranked(ctx);
    std::erase_if(eligible, [&](candidate const& each) {
        return !each.member || !ownership.roster.nodes.contains(each.node)
               || each.member->stopping
               || ctx.now - each.member->last_reply_at >= peer_silence_limit
               || each.member->store_heard_at < store_heard_since;
    });
    // The daemon that was asked last has not taken over, so it comes last.
    std::stable_partition(
        eligible.begin(), eligible.end(), [&](auto const& each) {
            return each.member->address != ownership.asked_address;
        });
    return eligible.empty() ? std::nullopt : std::optional(eligible.front());
}

time_ms claim_delay(shard_context const& ctx)
{
    if (ctx.shard.ownership.record.node == ctx.state.options.node)
    {
        // An earlier process of this daemon owned the shard, so nobody else can
        // be the owner.
        return {};
    }
    auto const owner = ctx.state.members.find(ctx.shard.ownership.record.node);
    auto const other_region =
        owner != ctx.state.members.end()
        && owner->second.region != ctx.state.options.region;
    auto const candidates = ranked(ctx);
    auto const self =
        std::find_if(candidates.begin(), candidates.end(),
                     [](candidate const& each) { return !each.member; });
    auto const rank = std::min(
        last_claim_rank, static_cast<std::size_t>(self - candidates.begin()));
    auto const overloaded =
        self->load > overload_factor * candidates.front().load;
    return claim_rank_delay * static_cast<std::int64_t>(rank)
           + (other_region ? other_region_delay : time_ms(0))
           + (overloaded ? overload_delay : time_ms(0));
}

} // namespace jaydrift::schedule::candidates
