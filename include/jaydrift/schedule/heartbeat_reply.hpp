#ifndef JAYDRIFT_SCHEDULE_HEARTBEAT_REPLY_HPP
#define JAYDRIFT_SCHEDULE_HEARTBEAT_REPLY_HPP

#include <jaydrift/core/time_ms.hpp>

#include <cstdint>
#include <string>

namespace jaydrift::schedule {

/// Reply to a heartbeat; goes to its sender.
struct heartbeat_reply
{
    std::uint32_t shard = 0;
    /// Name of the daemon that replies.
    std::string node;

    /// Highest revision of the owner record that the daemon knows. If it is
    /// higher than that of the heartbeat, another daemon has taken over from
    /// the sender.
    std::uint64_t revision = 0;

    /// Time since the store last answered the daemon.
    time_ms store_age;

    /// The daemon is stopping and will not take over the shard.
    bool stopping = false;
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_HEARTBEAT_REPLY_HPP
