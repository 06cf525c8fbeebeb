#ifndef JAYDRIFT_DECIDE_STOP_STATE_HPP
#define JAYDRIFT_DECIDE_STOP_STATE_HPP

#include <jaydrift/core/time_ms.hpp>

#include <optional>

namespace jaydrift::decide {

/// State of a planned stop.
struct stop_state
{
    std::optional<time_ms> requested_at;
    time_ms next_check;

    /// The drain time is over and the hand-over of the shards has begun.
    bool handing_over = false;

    /// The `exit_process` effect was emitted.
    bool exiting = false;
};

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_STOP_STATE_HPP
