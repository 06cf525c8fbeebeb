#ifndef JAYDRIFT_SCHEDULE_TASK_ID_HPP
#define JAYDRIFT_SCHEDULE_TASK_ID_HPP

#include <compare>
#include <cstdint>
#include <string>

namespace jaydrift::schedule {

/// Identifies one task of a submission.
struct task_id
{
    std::string submission;

    /// Indexes from 0 of the occurrence, its step and the task of the step.
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0;

    auto operator<=>(task_id const&) const = default;
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_TASK_ID_HPP
