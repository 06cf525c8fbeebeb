#ifndef JAYDRIFT_DECIDE_ANSWER_JOB_HPP
#define JAYDRIFT_DECIDE_ANSWER_JOB_HPP

#include <jaydrift/core/job_reply.hpp>

#include <cstdint>

namespace jaydrift::decide {

/// Effect: answers a caller's request about a batch job.
struct answer_job
{
    /// Identifies the open call that the answer belongs to.
    std::uint64_t call = 0;
    job_reply reply;
};

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_ANSWER_JOB_HPP
