#ifndef JAYDRIFT_SCHEDULE_OWNER_QUERY_HPP
#define JAYDRIFT_SCHEDULE_OWNER_QUERY_HPP

#include <cstdint>
#include <string>

namespace jaydrift::schedule {

/// Asks whether the owner is still heard elsewhere.
struct owner_query
{
    std::uint32_t shard = 0;
    std::string node;

    /// Where the answer goes; the others may not know the daemon yet.
    std::string address;
    std::uint64_t revision = 0;
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_OWNER_QUERY_HPP
