#ifndef JAYDRIFT_DECIDE_OWNERSHIP_STATE_HPP
#define JAYDRIFT_DECIDE_OWNERSHIP_STATE_HPP

#include <jaydrift/core/shard_id.hpp>
#include <jaydrift/core/time_ms.hpp>
#include <jaydrift/decide/prefix_watch.hpp>
#include <jaydrift/decide/shard_view.hpp>
#include <jaydrift/decide/term_call.hpp>

#include <cstdint>
#include <map>
#include <optional>

namespace jaydrift::decide {

/// State of the ownership module.
struct ownership_state
{
    std::map<shard_id, shard_view> shards;

    /// Outstanding fences, renewals and reads of records, by correlation
    /// number.
    std::map<std::uint64_t, term_call> calls;

    prefix_watch watch{"shards/", 0, 0, {}, false, false};

    /// First `timer_due` event.
    std::optional<time_ms> started_at;
    time_ms last_timer;

    /// Policy version at `last_timer`. A change makes the timer due at once, so
    /// that workers learn of the new version.
    std::uint64_t last_policy_version = 0;

    /// When a shard last began to move to a better-ranked daemon.
    time_ms rebalanced_at;

    /// `ownership::release_all` was called: this daemon takes no shards.
    bool releasing_all = false;
};

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_OWNERSHIP_STATE_HPP
