#ifndef JAYDRIFT_SCHEDULE_WORKER_REQUEST_HPP
#define JAYDRIFT_SCHEDULE_WORKER_REQUEST_HPP

#include <jaydrift/core/resources.hpp>
#include <jaydrift/core/time_ms.hpp>

#include <cstdint>
#include <string>

namespace jaydrift::schedule {

/// Asks the owner of another shard for a worker, since tasks wait that find no
/// room here. Repeated while they wait.
struct worker_request
{
    /// What the asking shard lacks.
    enum class shortage_kind : std::uint8_t
    {
        /// A worker that could run the tasks, however little else it does.
        suitable_worker,

        /// Room for long-running tasks.
        long_running_room,

        /// Room for a submission of which nothing runs.
        room
    };

    /// Shard that is asked.
    std::uint32_t shard = 0;

    /// Owner of the asking shard, and the revision of its owner record.
    std::string node;
    std::uint64_t revision = 0;
    std::uint32_t asking_shard = 0;

    shortage_kind kind = shortage_kind::suitable_worker;

    /// What the worker must have: its service, a label unless that is empty,
    /// and the capacity for one task.
    std::string service;
    std::string required_label;
    resources demand;

    /// How long the tasks have waited.
    time_ms waited;

    /// Processors of the asking shard, in thousandths: what long-running tasks
    /// hold or wait for, and what its usable workers have.
    std::int64_t long_running_millicores = 0;
    std::int64_t usable_millicores = 0;
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_WORKER_REQUEST_HPP
