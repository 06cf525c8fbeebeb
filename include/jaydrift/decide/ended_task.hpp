#ifndef JAYDRIFT_DECIDE_ENDED_TASK_HPP
#define JAYDRIFT_DECIDE_ENDED_TASK_HPP

#include <jaydrift/core/shard_id.hpp>

namespace jaydrift::decide {

/// An ended task that its worker still reports.
struct ended_task
{
    shard_id shard;
    /// The end is durable, so that the worker may forget the task.
    bool durable = false;
};

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_ENDED_TASK_HPP
