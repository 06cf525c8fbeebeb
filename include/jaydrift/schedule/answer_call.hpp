#ifndef JAYDRIFT_SCHEDULE_ANSWER_CALL_HPP
#define JAYDRIFT_SCHEDULE_ANSWER_CALL_HPP

#include <jaydrift/schedule/answer.hpp>

#include <cstdint>

namespace jaydrift::schedule {

/// Effect: answers the call that came with this number in `call_arrived`.
struct answer_call
{
    std::uint64_t call = 0;
    answer reply;
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_ANSWER_CALL_HPP
