#ifndef JAYDRIFT_SCHEDULE_HEARTBEAT_HPP
#define JAYDRIFT_SCHEDULE_HEARTBEAT_HPP

#include <jaydrift/core/time_ms.hpp>
#include <jaydrift/schedule/shard_load.hpp>

#include <cstdint>
#include <string>

namespace jaydrift::schedule {

/// Sent regularly by the owner of a shard to the other daemons.
struct heartbeat
{
    std::uint32_t shard = 0;
    /// Name of the owner, and address of its peer port.
    std::string node;
    std::string address;

    /// Revision and term of the owner record.
    std::uint64_t revision = 0;
    std::uint64_t term = 0;

    /// Time until the next heartbeat to the same daemon.
    time_ms interval;

    /// Work in the shard. Used to choose the shard of new submissions, not the
    /// owner of a shard; for that see `candidate::load`.
    shard_load load;
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_HEARTBEAT_HPP
