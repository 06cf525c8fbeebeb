#ifndef JAYDRIFT_SCHEDULE_RUN_NUMBERS_HPP
#define JAYDRIFT_SCHEDULE_RUN_NUMBERS_HPP

#include <jaydrift/schedule/owner_record.hpp>
#include <jaydrift/schedule/task_assignment_record.hpp>

#include <algorithm>
#include <cstdint>

namespace jaydrift::schedule {

/// A term has room for this many runs of a task.
inline constexpr std::uint64_t runs_per_term = 1U << 20U;

/// Returns a number that is below those of all runs that the owner starts, and
/// not below those of earlier owners.
inline std::uint64_t run_number_base(owner_record const& owner)
{
    return owner.term * runs_per_term;
}

/// The same for a task that was assigned to the shard of the owner; not below
/// the numbers of the shards that had it before either.
inline std::uint64_t run_number_base(owner_record const& owner,
                                     task_assignment_record const& assignment)
{
    auto const later_terms =
        owner.term - std::min(owner.term, assignment.owner_term);
    return std::max(run_number_base(owner),
                    assignment.run_base + later_terms * runs_per_term);
}

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_RUN_NUMBERS_HPP
