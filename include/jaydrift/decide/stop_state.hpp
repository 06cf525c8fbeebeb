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
    bool handing_over = false;
    bool exiting = false;
};

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_STOP_STATE_HPP
