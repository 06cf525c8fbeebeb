#ifndef JAYDRIFT_SCHEDULE_RUN_ID_HPP
#define JAYDRIFT_SCHEDULE_RUN_ID_HPP

#include <jaydrift/schedule/task_id.hpp>

#include <compare>
#include <cstdint>

namespace jaydrift::schedule {

/// Identifies one start of a task. The numbers of a task increase, also across
/// changes of owner.
struct run_id
{
    task_id task;
    std::uint64_t number = 0;

    auto operator<=>(run_id const&) const = default;
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_RUN_ID_HPP
