#ifndef JAYDRIFT_STANDIN_WORKER_TASKS_HPP
#define JAYDRIFT_STANDIN_WORKER_TASKS_HPP

#include <jaydrift/core/start_request.hpp>
#include <jaydrift/core/task_report.hpp>
#include <jaydrift/core/task_state.hpp>
#include <jaydrift/standin/executor_answered.hpp>
#include <jaydrift/standin/worker_step.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace jaydrift::standin {

/// The runs of tasks on a worker and the resources that they hold.
namespace worker_tasks {

/// Starts a task that the worker's rules admit.
task_run& start(worker_step& step, start_request const& request);

/// Ends a run, releases its resources and answers a call that waits for it.
void end(worker_step& step, task_run& run, task_state state,
         std::string_view reason = {});

void on_executor_answered(worker_step& step, executor_answered const& event);

/// Forgets the ended tasks whose retention time has passed.
void forget_old(worker_step& step);

/// Notes that an owner has made the end of a task durable.
void acknowledge(worker_step& step, shard_id const& shard,
                 std::string_view task);

/// Returns what the worker tells about a run.
task_report report(task_run const& run);

/// Returns the number of running urgent requests of a kind.
std::size_t used_slots(worker_state const& state, std::string_view kind);

} // namespace worker_tasks

} // namespace jaydrift::standin

#endif // JAYDRIFT_STANDIN_WORKER_TASKS_HPP
