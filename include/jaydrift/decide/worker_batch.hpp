#ifndef JAYDRIFT_DECIDE_WORKER_BATCH_HPP
#define JAYDRIFT_DECIDE_WORKER_BATCH_HPP

#include <jaydrift/decide/ended_task.hpp>
#include <jaydrift/decide/interference_state.hpp>
#include <jaydrift/decide/task_ref.hpp>

#include <functional>
#include <map>
#include <set>
#include <string>

namespace jaydrift::decide {

/// What this daemon knows about the batch tasks on a worker.
struct worker_batch
{
    /// Rack of the worker; kept after the VM list names the worker no more.
    std::string rack;

    /// Tasks that the worker runs or may run.
    std::set<task_ref> placed;

    /// Ended tasks that the worker has not forgotten yet, by ID. No new attempt
    /// of them is started on this worker, because its reply could be about
    /// the old one.
    std::map<std::string, ended_task, std::less<>> ended_tasks;
    interference_state interference;
};

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_WORKER_BATCH_HPP
