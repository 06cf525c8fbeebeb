#ifndef JAYDRIFT_DECIDE_TASK_CALL_HPP
#define JAYDRIFT_DECIDE_TASK_CALL_HPP

#include <jaydrift/core/task_action.hpp>
#include <jaydrift/decide/task_ref.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace jaydrift::decide {

/// A call to a worker about one attempt of a task; no reply has arrived yet.
struct task_call
{
    task_ref task;
    std::string worker;
    std::uint32_t attempt = 0;

    /// Absent for a start.
    std::optional<task_action> action;
};

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_TASK_CALL_HPP
