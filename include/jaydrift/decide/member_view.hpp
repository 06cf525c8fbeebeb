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

    /// Named by the settings, so it is contacted for ever.
    bool configured = false;

    /// Has a key in the store.
    bool registered = false;

    std::optional<time_ms> heard_at;
    time_ms next_beat;
    heartbeat last;
};

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_MEMBER_VIEW_HPP
