#ifndef JAYDRIFT_SCHEDULE_YIELD_REQUEST_HPP
#define JAYDRIFT_SCHEDULE_YIELD_REQUEST_HPP

#include <cstdint>
#include <string>

namespace jaydrift::schedule {

/// Asks a daemon to take over a shard from its owner at once.
struct yield_request
{
    std::uint32_t shard = 0;

    /// Name of the owner.
    std::string node;

    /// Revision of the owner record; the request is ignored if the daemon knows
    /// another one.
    std::uint64_t revision = 0;
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_YIELD_REQUEST_HPP
