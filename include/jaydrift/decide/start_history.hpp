#ifndef JAYDRIFT_DECIDE_START_HISTORY_HPP
#define JAYDRIFT_DECIDE_START_HISTORY_HPP

#include <jaydrift/core/time_ms.hpp>

#include <optional>
#include <string>
#include <vector>

namespace jaydrift::decide {

/// Results of the starts on a worker that decide about its quarantine.
struct start_history
{
    /// Jobs that failed since the last success, without repetition.
    std::vector<std::string> failed_jobs;
    std::optional<time_ms> quarantined_until;

    /// After a quarantine, only one task runs until a start succeeds.
    bool probation = false;

    /// ID of that task; empty if none was reserved yet.
    std::string probe_task;
};

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_START_HISTORY_HPP
