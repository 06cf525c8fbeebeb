#ifndef JAYDRIFT_CORE_JOB_REQUEST_HPP
#define JAYDRIFT_CORE_JOB_REQUEST_HPP

#include <jaydrift/core/cancel_job.hpp>
#include <jaydrift/core/job_spec.hpp>
#include <jaydrift/core/show_job.hpp>

#include <variant>

namespace jaydrift {

/// Any request about a batch job; a `job_spec` submits one.
using job_request = std::variant<job_spec, show_job, cancel_job>;

} // namespace jaydrift

#endif // JAYDRIFT_CORE_JOB_REQUEST_HPP
