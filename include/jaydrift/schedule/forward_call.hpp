#ifndef JAYDRIFT_SCHEDULE_FORWARD_CALL_HPP
#define JAYDRIFT_SCHEDULE_FORWARD_CALL_HPP

#include <jaydrift/core/time_ms.hpp>
#include <jaydrift/schedule/selected_queue.hpp>

#include <cstdint>
#include <string>

namespace jaydrift::schedule {

/// Effect: forwards a call to another daemon; one `forward_replied` with the
/// same call and shard follows.
struct forward_call
{
    std::uint64_t call = 0;
    std::uint32_t shard = 0;
    std::string address;
    time_ms time_limit;
    selected_queue selected;
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_FORWARD_CALL_HPP
