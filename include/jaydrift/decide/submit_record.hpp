#ifndef JAYDRIFT_DECIDE_SUBMIT_RECORD_HPP
#define JAYDRIFT_DECIDE_SUBMIT_RECORD_HPP

#include <jaydrift/core/job_spec.hpp>
#include <jaydrift/core/task_class.hpp>

namespace jaydrift::decide {

/// A job was submitted. Once the record is durable, the job is accepted.
struct submit_record
{
    job_spec spec;
    task_class priority = task_class::batch;
};

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_SUBMIT_RECORD_HPP
