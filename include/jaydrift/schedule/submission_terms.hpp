#ifndef JAYDRIFT_SCHEDULE_SUBMISSION_TERMS_HPP
#define JAYDRIFT_SCHEDULE_SUBMISSION_TERMS_HPP

#include <jaydrift/core/time_ms.hpp>

#include <cstdint>
#include <string>

namespace jaydrift::schedule {

/// What a queue gives its submissions. Kept with each submission, since the
/// queue may be changed or removed before the submission has ended.
struct submission_terms
{
    /// Only workers of this service run the tasks.
    std::string service;

    /// Submissions with a smaller number start first.
    std::uint32_t priority = 0;

    /// Failed runs of one task after which the submission fails.
    std::uint32_t max_attempts = 0;

    /// Time from the acceptance to the objective. Fixed at the acceptance.
    time_ms time_allowed;

    /// Version of the configuration that the figures of the queue are from; 0
    /// in a record of an earlier release. An older one does not replace them.
    std::uint64_t config_version = 0;

    bool operator==(submission_terms const&) const = default;
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_SUBMISSION_TERMS_HPP
