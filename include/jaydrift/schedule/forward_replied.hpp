#ifndef JAYDRIFT_SCHEDULE_FORWARD_REPLIED_HPP
#define JAYDRIFT_SCHEDULE_FORWARD_REPLIED_HPP

#include <jaydrift/schedule/answer.hpp>

#include <cstdint>

namespace jaydrift::schedule {

/// Event: a forwarded call has ended. Without an answer, `reply` is `unknown`
/// if the call may have arrived and `unavailable` otherwise.
struct forward_replied
{
    std::uint64_t call = 0;
    std::uint32_t shard = 0;
    answer reply;
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_FORWARD_REPLIED_HPP
