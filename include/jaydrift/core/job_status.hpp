#ifndef JAYDRIFT_CORE_JOB_STATUS_HPP
#define JAYDRIFT_CORE_JOB_STATUS_HPP

#include <jaydrift/core/job_state.hpp>

#include <cstdint>
#include <string>

namespace jaydrift {

/// Progress of a batch job.
struct job_status
{
    std::string id;
    job_state state = job_state::waiting;
    std::uint32_t task_count = 0;
    std::uint32_t finished = 0;
    std::uint32_t running = 0;
    std::uint32_t evictions = 0;
    /// Why the job waits or will not run; empty if there is nothing to say.
    std::string reason;
};

} // namespace jaydrift

#endif // JAYDRIFT_CORE_JOB_STATUS_HPP
