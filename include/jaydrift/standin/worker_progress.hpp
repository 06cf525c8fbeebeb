#ifndef JAYDRIFT_STANDIN_WORKER_PROGRESS_HPP
#define JAYDRIFT_STANDIN_WORKER_PROGRESS_HPP

#include <jaydrift/core/time_ms.hpp>
#include <jaydrift/core/usage_report.hpp>
#include <jaydrift/standin/worker_step.hpp>

#include <cstdint>

namespace jaydrift::standin {

/// The passing of time on a worker: work done, leases and measurements.
namespace worker_progress {

/// Ends tasks and stops those of lapsed leases up to now, in order of time.
void advance(worker_step& step);

/// Returns the run time of a task relative to an idle VM, in thousandths.
std::int64_t slowdown(worker_state const& state, task_run const& run);

/// Returns the newest measurement that is older than the lag.
usage_report reported_usage(worker_step& step);

/// Returns when `advance` next has something to do.
time_ms next_due(worker_state const& state);

} // namespace worker_progress

} // namespace jaydrift::standin

#endif // JAYDRIFT_STANDIN_WORKER_PROGRESS_HPP
