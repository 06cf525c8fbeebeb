#ifndef JAYDRIFT_SCHEDULE_RUN_PHASE_HPP
#define JAYDRIFT_SCHEDULE_RUN_PHASE_HPP

#include <cstdint>

namespace jaydrift::schedule {

/// State of a run on a worker, as the owner knows it.
enum class run_phase : std::uint8_t
{
    /// The start order was sent and has no reply yet.
    starting,
    running,

    /// The run is being stopped, on purpose or because its start order had no
    /// reply.
    stopping
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_RUN_PHASE_HPP
