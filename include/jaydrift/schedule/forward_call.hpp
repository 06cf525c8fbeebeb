#ifndef JAYDRIFT_SCHEDULE_FORWARD_CALL_HPP
#define JAYDRIFT_SCHEDULE_FORWARD_CALL_HPP

#include <jaydrift/core/time_ms.hpp>

#include <cstdint>
#include <string>

namespace jaydrift::schedule {

/// Effect: passes a call on to another daemon; `forward_replied` follows.
struct forward_call
{
    std::uint64_t call = 0;
    std::uint32_t shard = 0;
    std::string address;
    time_ms time_limit;
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_FORWARD_CALL_HPP
