#ifndef JAYDRIFT_CORE_JOB_REPLY_HPP
#define JAYDRIFT_CORE_JOB_REPLY_HPP

#include <jaydrift/core/call_status.hpp>
#include <jaydrift/core/job_status.hpp>

#include <string>

namespace jaydrift {

/// Reply to a request about a batch job.
struct job_reply
{
    call_status status = call_status::ok;
    std::string reason;
    job_status job;
};

} // namespace jaydrift

#endif // JAYDRIFT_CORE_JOB_REPLY_HPP
