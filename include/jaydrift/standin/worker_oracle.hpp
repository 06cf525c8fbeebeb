#ifndef JAYDRIFT_STANDIN_WORKER_ORACLE_HPP
#define JAYDRIFT_STANDIN_WORKER_ORACLE_HPP

#include <jaydrift/core/resources.hpp>
#include <jaydrift/standin/run_log_entry.hpp>

#include <span>

namespace jaydrift::standin {

struct worker_state;

/// Returns the demand of all running tasks, summed up independently of
/// `worker_state::used`.
resources held_resources(worker_state const& state);

/// Returns whether a task in the run log has two runs at the same time.
bool has_overlapping_runs(std::span<run_log_entry const> log);

} // namespace jaydrift::standin

#endif // JAYDRIFT_STANDIN_WORKER_ORACLE_HPP
