#ifndef JAYDRIFT_SCHEDULE_PROGRESS_RECORD_HPP
#define JAYDRIFT_SCHEDULE_PROGRESS_RECORD_HPP

#include <jaydrift/core/time_ms.hpp>
#include <jaydrift/schedule/submission_phase.hpp>
#include <jaydrift/schedule/task_progress.hpp>

#include <string>
#include <vector>

namespace jaydrift::schedule {

/// Stored progress of a submission: its tasks by occurrence, step and index.
struct progress_record
{
    std::string id;
    submission_phase phase = submission_phase::queued;

    /// A worker has begun a run. Never set in a record of an earlier release.
    bool started = false;

    /// Wall clock time of the end; 0 before it.
    time_ms ended_at;
    std::vector<std::vector<std::vector<task_progress>>> occurrences;
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_PROGRESS_RECORD_HPP
