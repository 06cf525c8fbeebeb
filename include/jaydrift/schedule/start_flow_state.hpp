#ifndef JAYDRIFT_SCHEDULE_START_FLOW_STATE_HPP
#define JAYDRIFT_SCHEDULE_START_FLOW_STATE_HPP

#include <jaydrift/core/time_ms.hpp>
#include <jaydrift/schedule/send_window.hpp>

namespace jaydrift::schedule {

/// Start orders of all shards in flight.
struct start_flow_state
{
    send_window window;

    /// A task waits since the window is full.
    bool held_back = false;

    time_ms next_gauges;
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_START_FLOW_STATE_HPP
