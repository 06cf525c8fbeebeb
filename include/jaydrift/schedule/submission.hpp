#ifndef JAYDRIFT_SCHEDULE_SUBMISSION_HPP
#define JAYDRIFT_SCHEDULE_SUBMISSION_HPP

#include <jaydrift/core/time_ms.hpp>
#include <jaydrift/schedule/step_spec.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace jaydrift::schedule {

/// Batch work that a caller submits under an ID that it chose.
struct submission
{
    /// Passed to every task; the scheduler does not look into it.
    std::string payload;
    std::vector<step_spec> steps;

    /// Wall clock time of the first occurrence, for repeated submissions.
    time_ms first_due;

    /// Time between two occurrences.
    time_ms interval;

    /// Number of occurrences; 0 for a single one that is due at once.
    std::uint32_t repeat_count = 0;
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_SUBMISSION_HPP
