#ifndef JAYDRIFT_SCHEDULE_TASK_TRANSFER_HPP
#define JAYDRIFT_SCHEDULE_TASK_TRANSFER_HPP

#include <jaydrift/core/time_ms.hpp>
#include <jaydrift/schedule/task_assignment_record.hpp>

#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

namespace jaydrift::schedule {

/// Tasks that the owner of their shard is about to assign to another shard, in
/// one transaction.
struct task_transfer
{
    /// Shard that gets the tasks, and the revision of its owner record.
    std::uint32_t to = 0;
    std::uint64_t to_revision = 0;

    /// The new records, each with the revision of the one that it replaces; 0
    /// if there is none.
    std::vector<std::pair<task_assignment_record, std::uint64_t>> records;

    time_ms began_at;

    /// Call that carries the transaction; absent between two attempts.
    std::optional<std::uint64_t> call;
    time_ms retry_at;
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_TASK_TRANSFER_HPP
