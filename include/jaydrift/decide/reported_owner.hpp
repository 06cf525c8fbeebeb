#ifndef JAYDRIFT_DECIDE_REPORTED_OWNER_HPP
#define JAYDRIFT_DECIDE_REPORTED_OWNER_HPP

#include <jaydrift/core/time_ms.hpp>

#include <optional>
#include <string>

namespace jaydrift {

struct shard_id;

} // namespace jaydrift

namespace jaydrift::decide {

struct daemon_state;

/// Returns the live daemon other than this one whose last heartbeat tells that
/// it serves a shard; of several, the one with the highest epoch.
std::optional<std::string> reported_owner(daemon_state const& state,
                                          shard_id const& shard, time_ms now);

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_REPORTED_OWNER_HPP
