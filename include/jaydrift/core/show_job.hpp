#ifndef JAYDRIFT_CORE_SHOW_JOB_HPP
#define JAYDRIFT_CORE_SHOW_JOB_HPP

#include <string>

namespace jaydrift {

/// Asks for the status of a job.
struct show_job
{
    std::string id;
    std::string home_region;
};

} // namespace jaydrift

#endif // JAYDRIFT_CORE_SHOW_JOB_HPP
