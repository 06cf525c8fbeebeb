#ifndef JAYDRIFT_CORE_CANCEL_JOB_HPP
#define JAYDRIFT_CORE_CANCEL_JOB_HPP

#include <string>

namespace jaydrift {

/// Cancels a job.
struct cancel_job
{
    std::string id;
    std::string home_region;
};

} // namespace jaydrift

#endif // JAYDRIFT_CORE_CANCEL_JOB_HPP
