#ifndef JAYDRIFT_CORE_JOB_STATE_HPP
#define JAYDRIFT_CORE_JOB_STATE_HPP

#include <cstdint>

namespace jaydrift {

/// State of a batch job.
enum class job_state : std::uint8_t
{
    waiting,
    running,
    finished,
    cancelled,
    /// Will not run; the reason is in the job's status.
    parked
};

} // namespace jaydrift

#endif // JAYDRIFT_CORE_JOB_STATE_HPP
