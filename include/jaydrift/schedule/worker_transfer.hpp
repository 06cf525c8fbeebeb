#ifndef JAYDRIFT_SCHEDULE_WORKER_TRANSFER_HPP
#define JAYDRIFT_SCHEDULE_WORKER_TRANSFER_HPP

#include <jaydrift/core/time_ms.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace jaydrift::schedule {

/// A worker that the owner of its shard is about to give to another shard.
struct worker_transfer
{
    std::string worker;

    /// Shard that gets the worker, and the revision of its owner record.
    std::uint32_t to = 0;
    std::uint64_t to_revision = 0;

    time_ms began_at;

    /// Revision of the assignment that the transaction replaces; absent until
    /// the transaction has been sent.
    std::optional<std::uint64_t> replaced_revision;

    /// Call that carries the transaction; absent between two attempts.
    std::optional<std::uint64_t> call;
    time_ms retry_at;
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_WORKER_TRANSFER_HPP
