#ifndef JAYDRIFT_SCHEDULE_STEP_SPEC_HPP
#define JAYDRIFT_SCHEDULE_STEP_SPEC_HPP

#include <jaydrift/core/resources.hpp>
#include <jaydrift/core/time_ms.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace jaydrift::schedule {

/// One step of a submission, as its caller describes it. Tasks are called
/// serving if they have a latency target, urgent if they are neither
/// long-running nor opportunistic, and firm if they are not opportunistic.
struct step_spec
{
    /// Number of tasks.
    std::uint32_t count = 1;

    /// Demand of each task.
    resources demand;

    /// Declared run time of one task; may be far off.
    time_ms estimate;

    /// Indexes of earlier steps whose tasks must all be done first.
    std::vector<std::uint32_t> after;

    /// Label that a worker must have; empty if any worker will do.
    std::string required_label;

    /// Rack where the data is; empty if there is none.
    std::string data_rack;

    /// Name of the image that the tasks run. Tasks of one image are expected to
    /// behave alike.
    std::string image;

    /// Most tasks of the step on one worker; 0 if unlimited.
    std::uint32_t max_per_worker = 0;

    /// Tasks of a long-running step that the caller allows the scheduler to
    /// keep from running at the same time. Only stored; no decision uses it.
    std::uint32_t max_unavailable = 0;

    /// Tail latency that a serving task should stay below; 0 if the tasks serve
    /// no requests. Opportunistic tasks beside it are slowed down for that, but
    /// nothing bounds how long the target is missed.
    time_ms latency_target;

    /// The tasks can only run all at the same time.
    bool gang = false;

    /// The tasks run slower if they are on more than one rack.
    bool same_rack = false;

    /// The tasks save checkpoints.
    bool checkpoints = false;

    /// The caller allows copies of a task to run in parallel. Only stored; the
    /// scheduler never starts copies.
    bool speculative = false;

    /// The tasks run until the submission is cancelled: a task whose run ends
    /// starts again.
    bool long_running = false;

    /// The tasks use processors that others leave unused. Their demand of
    /// processors does not count against those of a worker; that of memory and
    /// accelerators does.
    bool opportunistic = false;
};

inline bool is_urgent(step_spec const& spec)
{
    return !spec.long_running && !spec.opportunistic;
}

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_STEP_SPEC_HPP
