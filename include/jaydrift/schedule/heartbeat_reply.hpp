#ifndef JAYDRIFT_SCHEDULE_HEARTBEAT_REPLY_HPP
#define JAYDRIFT_SCHEDULE_HEARTBEAT_REPLY_HPP

#include <jaydrift/core/time_ms.hpp>

#include <cstdint>
#include <string>

namespace jaydrift::schedule {

/// Answers a heartbeat.
struct heartbeat_reply
{
    std::uint32_t shard = 0;
    std::string node;

    /// Highest revision of the owner's record that the daemon knows.
    std::uint64_t revision = 0;

    /// Time since the store last answered the daemon.
    time_ms store_age;

    /// The daemon is about to end and will not succeed.
    bool stopping = false;
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_HEARTBEAT_REPLY_HPP
