#ifndef JAYDRIFT_DECIDE_MEMBER_VIEW_HPP
#define JAYDRIFT_DECIDE_MEMBER_VIEW_HPP

#include <jaydrift/core/heartbeat.hpp>
#include <jaydrift/core/member_info.hpp>
#include <jaydrift/core/time_ms.hpp>

#include <optional>

namespace jaydrift::decide {

/// What the membership module knows about another daemon.
struct member_view
{
    member_info member;

    /// The settings name the daemon, so it is contacted for ever.
    bool configured = false;

    /// The daemon has a key in the store.
    bool registered = false;

    /// When its last heartbeat arrived; nothing if none has.
    std::optional<time_ms> heard_at;

    /// When this daemon next sends it a heartbeat.
    time_ms next_heartbeat;

    /// Last heartbeat that arrived from it.
    heartbeat last_heartbeat;
};

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_MEMBER_VIEW_HPP
