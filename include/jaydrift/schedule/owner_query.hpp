#ifndef JAYDRIFT_SCHEDULE_OWNER_QUERY_HPP
#define JAYDRIFT_SCHEDULE_OWNER_QUERY_HPP

#include <cstdint>
#include <string>

namespace jaydrift::schedule {

/// Asks the other daemons whether they still hear the owner of a shard.
struct owner_query
{
    std::uint32_t shard = 0;

    /// Daemon that asks.
    std::string node;

    /// Where the reply goes; the others may not know the daemon yet.
    std::string address;

    /// Highest revision of the owner record that the daemon knows.
    std::uint64_t revision = 0;
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_OWNER_QUERY_HPP
