#ifndef JAYDRIFT_SCHEDULE_YIELD_REQUEST_HPP
#define JAYDRIFT_SCHEDULE_YIELD_REQUEST_HPP

#include <cstdint>
#include <string>

namespace jaydrift::schedule {

/// Asks a daemon to succeed the owner at once.
struct yield_request
{
    std::uint32_t shard = 0;
    std::string node;
    std::uint64_t revision = 0;
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_YIELD_REQUEST_HPP
