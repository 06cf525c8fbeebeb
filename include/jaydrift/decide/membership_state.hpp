#ifndef JAYDRIFT_DECIDE_MEMBERSHIP_STATE_HPP
#define JAYDRIFT_DECIDE_MEMBERSHIP_STATE_HPP

#include <jaydrift/core/time_ms.hpp>
#include <jaydrift/decide/member_key.hpp>
#include <jaydrift/decide/member_view.hpp>
#include <jaydrift/decide/prefix_watch.hpp>

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace jaydrift::decide {

/// State of the membership module.
struct membership_state
{
    /// The other daemons, by name.
    std::map<std::string, member_view, std::less<>> members;

    member_key key;
    prefix_watch watch{"members/", 0, 0, {}, false, false};

    /// The last call of this module to the store was replied to; a watch that
    /// was sent and failed does not change this.
    bool store_answers = false;

    /// Since when the store has replied without a failure.
    time_ms store_answers_since;

    /// First `timer_due` event.
    std::optional<time_ms> started_at;
    time_ms last_timer;
};

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_MEMBERSHIP_STATE_HPP
