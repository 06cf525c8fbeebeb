#ifndef JAYDRIFT_SCHEDULE_SUBMISSION_RECORD_HPP
#define JAYDRIFT_SCHEDULE_SUBMISSION_RECORD_HPP

#include <jaydrift/core/time_ms.hpp>
#include <jaydrift/schedule/submission.hpp>
#include <jaydrift/schedule/submission_terms.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace jaydrift::schedule {

/// Stored form of a submission, which is accepted once the store has it. Only
/// the terms change later.
struct submission_record
{
    std::string id;

    /// Name of the queue that it was submitted to.
    std::string queue;

    /// Wall clock time at which the owner took the submission, before the store
    /// had it.
    time_ms accepted_at;
    submission work;

    /// Terms that apply, also once the queue is gone. Absent in a record of an
    /// earlier release.
    std::optional<submission_terms> terms = std::nullopt;
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_SUBMISSION_RECORD_HPP
