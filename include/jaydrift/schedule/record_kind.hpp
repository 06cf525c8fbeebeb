#ifndef JAYDRIFT_SCHEDULE_RECORD_KIND_HPP
#define JAYDRIFT_SCHEDULE_RECORD_KIND_HPP

#include <cstdint>

namespace jaydrift::schedule {

/// Kinds of records in the store.
enum class record_kind : std::uint8_t
{
    configuration,
    zone_closure,
    worker,
    layout,
    owner,
    roster,
    member,

    /// Shard of a worker; see `assignment_record`.
    assignment,

    /// Shard of a task; see `task_assignment_record`.
    task_assignment,

    /// Number of the last transaction of a record log; see `serial_record`.
    serial,
    fleet,
    submission,
    progress,
    relocation,
    cancellation,
    interference,

    /// A key that is none of the above; ignored.
    other
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_RECORD_KIND_HPP
