#ifndef JAYDRIFT_SCHEDULE_RUN_NUMBERS_HPP
#define JAYDRIFT_SCHEDULE_RUN_NUMBERS_HPP

#include <jaydrift/schedule/owner_record.hpp>

#include <cstdint>

namespace jaydrift::schedule {

/// Numbers of the runs that an owner starts are above this, and those of
/// earlier owners are not.
inline std::uint64_t run_number_base(owner_record const& owner)
{
    constexpr std::uint64_t runs_per_term = 1U << 20U;
    return owner.term * runs_per_term;
}

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_RUN_NUMBERS_HPP
