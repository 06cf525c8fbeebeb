#ifndef JAYDRIFT_STANDIN_WORKER_PROGRESS_HPP
#define JAYDRIFT_STANDIN_WORKER_PROGRESS_HPP

#include <jaydrift/core/time_ms.hpp>
#include <jaydrift/core/usage_report.hpp>
#include <jaydrift/standin/worker_context.hpp>

#include <cstdint>

namespace jaydrift::standin {

/// Advances a worker in time: work done, leases and usage measurements.
namespace worker_progress {

/// Finishes tasks and stops those whose lease expires up to now, in the order
/// of their times. Then measures the usage if a measurement is due.
void advance(worker_context& ctx);

/// Returns the run time of a task relative to an idle VM, in thousandths.
std::int64_t slowdown_permille(worker_state const& state, task_run const& run);

/// Returns the newest measurement that is at least as old as the usage lag, or
/// an empty report. Drops older measurements.
usage_report reported_usage(worker_context& ctx);

/// Returns when `advance` must next be called, or `never`.
time_ms next_due(worker_state const& state);

} // namespace worker_progress

} // namespace jaydrift::standin

#endif // JAYDRIFT_STANDIN_WORKER_PROGRESS_HPP
