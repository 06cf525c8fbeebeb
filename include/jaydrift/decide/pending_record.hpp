#ifndef JAYDRIFT_DECIDE_PENDING_RECORD_HPP
#define JAYDRIFT_DECIDE_PENDING_RECORD_HPP

#include <jaydrift/core/time_ms.hpp>
#include <jaydrift/decide/batch_record.hpp>
#include <jaydrift/decide/job_waiter.hpp>

#include <string>
#include <vector>

namespace jaydrift::decide {

/// A batch record that is not durable yet, and what is done once it is.
struct pending_record
{
    batch_record record;

    /// Who is answered once the record is durable.
    std::vector<job_waiter> waiters;

    /// Worker, and ID of the task that it may forget once the record is
    /// durable; empty for submissions and cancellations.
    std::string worker;
    std::string task;

    /// A submission or cancellation that was not sent to the store by then is
    /// refused.
    time_ms refuse_at;
};

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_PENDING_RECORD_HPP
