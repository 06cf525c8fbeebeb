#ifndef JAYDRIFT_DECIDE_JOB_ARRIVED_HPP
#define JAYDRIFT_DECIDE_JOB_ARRIVED_HPP

#include <jaydrift/core/job_request.hpp>

#include <cstdint>

namespace jaydrift::decide {

/// A caller sent a request about a batch job. `call` identifies the open call
/// that the answer belongs to.
struct job_arrived
{
    std::uint64_t call = 0;
    job_request request;
};

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_JOB_ARRIVED_HPP
