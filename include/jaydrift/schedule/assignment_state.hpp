#ifndef JAYDRIFT_SCHEDULE_ASSIGNMENT_STATE_HPP
#define JAYDRIFT_SCHEDULE_ASSIGNMENT_STATE_HPP

#include <jaydrift/core/time_ms.hpp>
#include <jaydrift/schedule/assignment_record.hpp>

#include <cstdint>
#include <optional>

namespace jaydrift::schedule {

/// An assignment, as a daemon knows it.
struct assignment_state
{
    assignment_record record;

    /// Revision of the record in the store.
    std::uint64_t revision = 0;

    /// When this daemon learned of it.
    time_ms observed_at;

    /// Since when the owner of the shard has seen no entry of the worker.
    std::optional<time_ms> absent_since;
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_ASSIGNMENT_STATE_HPP
