#ifndef JAYDRIFT_SCHEDULE_STORE_SESSION_STATE_HPP
#define JAYDRIFT_SCHEDULE_STORE_SESSION_STATE_HPP

#include <jaydrift/core/time_ms.hpp>
#include <jaydrift/schedule/pending_store_call.hpp>
#include <jaydrift/schedule/watch_state.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <utility>

namespace jaydrift::schedule {

/// Calls to the store in flight, and whether the store has answered the ones
/// before.
struct store_session_state
{
    std::uint64_t next_call = 1;

    /// Calls in flight, by number.
    std::map<std::uint64_t, pending_store_call> calls;

    /// When the latest of the calls that the store has answered was sent. A
    /// refusal is no answer here.
    std::optional<time_ms> answered_sent_at;

    /// Highest revision of the store that a reply has shown.
    std::uint64_t highest_revision = 0;
    watch_state operators;
    watch_state coordination;
    watch_state workers;

    /// For the purposes of calls, with their shards, of which the last ones got
    /// no byte of a reply although the store answered others: how many in a
    /// row.
    std::map<std::pair<store_purpose, std::uint32_t>, std::uint32_t>
        silent_calls;

    /// Earliest time of the next question whether the store answers.
    time_ms next_probe;

    /// Time of the next update of the gauges of the views' ages.
    time_ms next_age_gauges;

    /// Time of the first of the calls that failed in a row; absent after a
    /// success.
    std::optional<time_ms> failing_since;

    /// Last reply of the store that was no failure; long before the start if
    /// there was none.
    time_ms last_success{-1000000};

    /// This daemon's own member record is in the store.
    bool registered = false;
    time_ms next_registration;
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_STORE_SESSION_STATE_HPP
