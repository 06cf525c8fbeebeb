#ifndef JAYDRIFT_SCHEDULE_STORE_PURPOSE_HPP
#define JAYDRIFT_SCHEDULE_STORE_PURPOSE_HPP

#include <cstdint>

namespace jaydrift::schedule {

/// What the reducer called the store for.
enum class store_purpose : std::uint8_t
{
    read_operators,
    watch_operators,
    read_coordination,
    watch_coordination,
    read_workers,
    watch_workers,
    read_submissions,
    count_workers,
    write_layout,
    announce,
    remove_member,
    claim,
    verify_owner,
    write_roster,
    append
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_STORE_PURPOSE_HPP
