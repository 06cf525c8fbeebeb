#include <jaydrift/decide/ranking.hpp>

#include <jaydrift/core/hash.hpp>
#include <jaydrift/decide/context.hpp>
#include <jaydrift/decide/membership.hpp>

#include <utility>

namespace jaydrift::decide {

std::optional<std::string> best_owner(daemon_state const& state,
                                      shard_id const& shard, time_ms now)
{
    std::optional<std::string> best;
    std::pair<bool, std::uint64_t> best_score;
    auto const key = to_string(shard);
    for (auto const& member : membership::live_members(state, now))
    {
        std::pair const score{member.region == shard.region,
                              rendezvous_score(key, member.daemon)};
        if (!best || score > best_score)
        {
            best = member.daemon;
            best_score = score;
        }
    }
    return best;
}

} // namespace jaydrift::decide
