#ifndef JAYDRIFT_DECIDE_RANKING_HPP
#define JAYDRIFT_DECIDE_RANKING_HPP

#include <jaydrift/core/time_ms.hpp>

#include <optional>
#include <string>
#include <vector>

namespace jaydrift {

struct shard_id;

} // namespace jaydrift

namespace jaydrift::decide {

struct daemon_state;

/// Returns the live daemon that should own a shard: the one with the highest
/// rendezvous score, among the daemons of the shard's region if any is live.
/// Returns nothing if every live daemon has begun a planned stop.
std::optional<std::string> best_owner(daemon_state const& state,
                                      shard_id const& shard, time_ms now);

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_RANKING_HPP
