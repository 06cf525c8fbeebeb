#ifndef JAYDRIFT_SCHEDULE_GUEST_READ_HPP
#define JAYDRIFT_SCHEDULE_GUEST_READ_HPP

#include <jaydrift/core/time_ms.hpp>

#include <cstdint>
#include <optional>

namespace jaydrift::schedule {

/// Read of a submission of another shard, tasks of which were assigned to this
/// one.
struct guest_read
{
    /// Shard that has the submission.
    std::uint32_t home = 0;

    /// Call in flight; absent between two attempts.
    std::optional<std::uint64_t> call;
    time_ms retry_at;

    /// The store did not hold the submission at the last attempt.
    bool absent = false;
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_GUEST_READ_HPP
