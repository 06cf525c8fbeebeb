#ifndef JAYDRIFT_SCHEDULE_WATCH_STATE_HPP
#define JAYDRIFT_SCHEDULE_WATCH_STATE_HPP

#include <jaydrift/core/time_ms.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>

namespace jaydrift::schedule {

/// The watch of one area of the store.
struct watch_state
{
    /// The next call is a watch, which asks for changes after `revision`;
    /// otherwise it is a read of the whole area.
    bool loaded = false;
    std::uint64_t revision = 0;

    /// Number of records at the last read, and of changes in the last reply and
    /// those before it that did not bring the view up to date.
    std::size_t records = 0;
    std::size_t changes_behind = 0;

    /// Number of the read or watch in flight, when it was sent, and the highest
    /// revision of the store that was known then.
    std::optional<std::uint64_t> call;
    time_ms sent_at;
    std::uint64_t known_when_sent = 0;

    /// The view shows all changes that this daemon could have learned of by
    /// then; absent before the first read.
    std::optional<time_ms> current_at;

    /// A line has reported that the view is out of date.
    bool reported_stale = false;

    /// Earliest time of the next call.
    time_ms retry_at;

    /// Failures without a line of their own since the last line about one, and
    /// earliest time of the next line.
    std::uint32_t unreported_failures = 0;
    time_ms next_failure_line;

    /// Number of calls that failed in a row.
    std::uint32_t failures = 0;
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_WATCH_STATE_HPP
