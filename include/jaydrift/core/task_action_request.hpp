#ifndef JAYDRIFT_CORE_TASK_ACTION_REQUEST_HPP
#define JAYDRIFT_CORE_TASK_ACTION_REQUEST_HPP

#include <jaydrift/core/ownership_term.hpp>
#include <jaydrift/core/task_action.hpp>

#include <cstdint>
#include <string>

namespace jaydrift {

/// Asks a worker to act on a running task.
struct task_action_request
{
    ownership_term term;
    std::string task;
    std::uint32_t attempt = 0;
    task_action action = task_action::throttle;
};

} // namespace jaydrift

#endif // JAYDRIFT_CORE_TASK_ACTION_REQUEST_HPP
