#ifndef JAYDRIFT_SCHEDULE_LAYOUT_STATE_HPP
#define JAYDRIFT_SCHEDULE_LAYOUT_STATE_HPP

#include <jaydrift/core/time_ms.hpp>

#include <cstddef>

namespace jaydrift::schedule {

/// Progress of the first daemons towards a layout.
struct layout_state
{
    /// The store has been read and holds no layout.
    bool absent = false;

    time_ms absent_since;

    /// Earliest time of the next look at the workers.
    time_ms next_count;

    /// Time at which this daemon counts them even if it is not the first one.
    time_ms deputy_at;

    /// Workers at the last look.
    std::size_t workers = 0;
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_LAYOUT_STATE_HPP
