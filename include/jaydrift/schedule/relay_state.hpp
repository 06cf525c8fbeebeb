#ifndef JAYDRIFT_SCHEDULE_RELAY_STATE_HPP
#define JAYDRIFT_SCHEDULE_RELAY_STATE_HPP

#include <jaydrift/core/time_ms.hpp>
#include <jaydrift/schedule/avoided_relay.hpp>
#include <jaydrift/schedule/configuration_history.hpp>
#include <jaydrift/schedule/waiting_relay_call.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace jaydrift::schedule {

/// How this daemon gets the operators' area from another one, and passes it on.
struct relay_state
{
    /// Calls of other daemons that wait for a change, by number.
    std::map<std::uint64_t, waiting_relay_call> waiting;

    /// Last time another daemon asked.
    std::optional<time_ms> asked_at;

    /// Revision of the last change of a closed zone, and of those of the
    /// configuration.
    std::uint64_t zones_changed_at = 0;
    configuration_history history;

    /// Daemons that are not asked for now, by name.
    std::map<std::string, avoided_relay, std::less<>> avoided;

    /// Daemon that is asked; empty if it is the store.
    std::string source;

    /// Time after which the answer to the call in flight is overdue, unless it
    /// is on its way.
    time_ms answer_due_at;

    /// The last answer was not as current as it should be.
    bool lagging = false;

    /// The view of the daemon that is asked is older than what the store has
    /// answered to this one. Another one is asked if that is still so then.
    std::optional<time_ms> catch_up_until;

    /// The same if a later view is on its way to that daemon.
    time_ms receive_until;
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_RELAY_STATE_HPP
