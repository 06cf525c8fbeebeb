#ifndef JAYDRIFT_SCHEDULE_STEP_STATE_HPP
#define JAYDRIFT_SCHEDULE_STEP_STATE_HPP

#include <jaydrift/core/time_ms.hpp>
#include <jaydrift/schedule/task_state.hpp>
#include <jaydrift/schedule/wait_reason.hpp>

#include <cstdint>
#include <vector>

namespace jaydrift::schedule {

/// The tasks of one step of an occurrence.
struct step_state
{
    std::vector<task_state> tasks;

    /// Number of tasks that are done.
    std::uint32_t done = 0;

    /// Tasks that are not done and have no place.
    std::uint32_t waiting_tasks = 0;

    /// All steps that it comes after are done.
    bool ready = false;

    /// Time at which this owner saw the step become ready. A task of the step
    /// waits since then or since its `waiting_since`, whichever is later.
    time_ms ready_since;

    /// Why its waiting tasks are not started, as the last pass found that tried
    /// to place one.
    wait_reason reason = wait_reason::not_tried;

    /// Earliest time of the next log line about its waiting tasks.
    time_ms next_wait_line;
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_STEP_STATE_HPP
