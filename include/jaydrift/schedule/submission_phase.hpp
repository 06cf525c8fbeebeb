#ifndef JAYDRIFT_SCHEDULE_SUBMISSION_PHASE_HPP
#define JAYDRIFT_SCHEDULE_SUBMISSION_PHASE_HPP

#include <cstdint>

namespace jaydrift::schedule {

/// State of a submission as its caller sees it.
enum class submission_phase : std::uint8_t
{
    queued,
    running,
    completed,
    failed,
    cancelled
};

/// Returns whether the submission has ended: no task of it will start any more.
constexpr bool ended(submission_phase phase)
{
    return phase != submission_phase::queued
           && phase != submission_phase::running;
}

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_SUBMISSION_PHASE_HPP
