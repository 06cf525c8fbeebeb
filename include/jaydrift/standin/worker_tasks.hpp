#ifndef JAYDRIFT_STANDIN_WORKER_TASKS_HPP
#define JAYDRIFT_STANDIN_WORKER_TASKS_HPP

#include <jaydrift/core/start_request.hpp>
#include <jaydrift/core/task_report.hpp>
#include <jaydrift/core/task_state.hpp>
#include <jaydrift/standin/executor_answered.hpp>
#include <jaydrift/standin/worker_context.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace jaydrift::standin {

/// The runs of tasks on a worker and the resources that they hold.
namespace worker_tasks {

/// Starts a task. The caller has checked the worker's rules.
task_run& start(worker_context& ctx, start_request const& request);

/// Ends a run, releases its resources and answers the call that waits for it.
void end(worker_context& ctx, task_run& run, task_state state,
         std::string_view reason = {});

void on_executor_answered(worker_context& ctx, executor_answered const& event);

/// Forgets the ended tasks whose retention time has passed, except those whose
/// end still has to be acknowledged.
void forget_old(worker_context& ctx);

/// Marks the end of a task as made durable by its owner, so that it may be
/// forgotten after the retention time.
void acknowledge(worker_context& ctx, shard_id const& shard,
                 std::string_view task);

/// Returns the report that replies contain about a run.
task_report report(task_run const& run);

/// Returns the number of running urgent requests of a kind.
std::size_t used_slots(worker_state const& state, std::string_view kind);

} // namespace worker_tasks

} // namespace jaydrift::standin

#endif // JAYDRIFT_STANDIN_WORKER_TASKS_HPP
