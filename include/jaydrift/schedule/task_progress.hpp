#ifndef JAYDRIFT_SCHEDULE_TASK_PROGRESS_HPP
#define JAYDRIFT_SCHEDULE_TASK_PROGRESS_HPP

#include <cstdint>
#include <string>
#include <vector>

namespace jaydrift::schedule {

/// Stored state of a task: what the next owner must know of it.
struct task_progress
{
    /// The task has ended with success and does not run again. Never set for a
    /// long-running task: if a run of it ends, another one starts.
    bool done = false;

    /// Numbers of the runs that failed; empty for long-running tasks. A list
    /// rather than a count, since after a change of owner ends may arrive again
    /// and in any order.
    std::vector<std::uint64_t> failed_runs;

    /// Highest number of a run whose end this record includes, whatever its
    /// outcome; also that of a run that failed or was stopped.
    std::uint64_t highest_ended_run = 0;

    /// Number of the run that was last ordered, and the worker that the order
    /// went to; the worker is empty if the task has no place.
    std::uint64_t run = 0;
    std::string worker;
    std::string checkpoint;

    bool operator==(task_progress const&) const = default;
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_TASK_PROGRESS_HPP
