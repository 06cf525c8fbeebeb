#include <jaydrift/decide/reported_owner.hpp>

#include <jaydrift/decide/context.hpp>
#include <jaydrift/decide/membership.hpp>

namespace jaydrift::decide {

std::optional<std::string> reported_owner(daemon_state const& state,
                                          shard_id const& shard, time_ms now)
{
    std::optional<std::string> result;
    std::uint64_t epoch = 0;
    for (auto const& [name, view] : state.membership.members)
    {
        for (auto const& claim : view.last.shards)
        {
            if (claim.shard == shard && claim.epoch >= epoch
                && membership::live(state, name, now))
            {
                result = name;
                epoch = claim.epoch;
            }
        }
    }
    return result;
}

} // namespace jaydrift::decide
