#ifndef JAYDRIFT_SCHEDULE_REPORTED_RUN_HPP
#define JAYDRIFT_SCHEDULE_REPORTED_RUN_HPP

#include <jaydrift/schedule/run_id.hpp>

#include <cstdint>
#include <string>

namespace jaydrift::schedule {

/// A run that a worker lists as running.
struct reported_run
{
    run_id run;

    /// Last checkpoint; empty if there is none.
    std::string checkpoint;

    /// Progress of the run. A long-running task has 100 while it works.
    std::uint32_t progress_percent = 0;

    /// For a task with a latency target, its tail latency in ms; for others,
    /// the millicores that it uses. Both measured over about the last half
    /// second.
    std::int64_t load = 0;
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_REPORTED_RUN_HPP
