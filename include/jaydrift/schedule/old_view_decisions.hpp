#ifndef JAYDRIFT_SCHEDULE_OLD_VIEW_DECISIONS_HPP
#define JAYDRIFT_SCHEDULE_OLD_VIEW_DECISIONS_HPP

#include <jaydrift/core/time_ms.hpp>

#include <cstddef>
#include <map>
#include <string>

namespace jaydrift::schedule {

/// Counts what a daemon has decided since the last log line about it, by views
/// of the store's areas that were out of date.
struct old_view_decisions
{
    /// Calls that the configuration decided, by the name of the answer.
    std::map<std::string, std::size_t, std::less<>> answers;

    /// Starts that the workers' entries decided.
    std::size_t starts = 0;

    /// What decided the last ones of these, for the log.
    std::string configuration;
    std::string workers;

    /// Calls that were answered since the view of the configuration was
    /// current, and when that was.
    std::size_t unconfirmed_answers = 0;
    time_ms unconfirmed_since;

    /// Earliest time of the next line.
    time_ms next_line;
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_OLD_VIEW_DECISIONS_HPP
