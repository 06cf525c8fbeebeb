#ifndef JAYDRIFT_SCHEDULE_OWNER_QUERY_REPLY_HPP
#define JAYDRIFT_SCHEDULE_OWNER_QUERY_REPLY_HPP

#include <jaydrift/core/time_ms.hpp>

#include <cstdint>
#include <string>

namespace jaydrift::schedule {

/// Reply to an owner query: how long ago the owner last sent a heartbeat to the
/// daemon.
struct owner_query_reply
{
    std::uint32_t shard = 0;

    /// Daemon that replies.
    std::string node;

    /// Highest revision of the owner record that it knows.
    std::uint64_t revision = 0;

    /// Time since the owner's last heartbeat to the daemon. 0 if the daemon
    /// holds the shard itself, also while it is recovering, suspended or
    /// yielding.
    time_ms age;
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_OWNER_QUERY_REPLY_HPP
