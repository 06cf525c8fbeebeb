#ifndef JAYDRIFT_DECIDE_ANSWER_CALLER_HPP
#define JAYDRIFT_DECIDE_ANSWER_CALLER_HPP

#include <jaydrift/core/request_result.hpp>

#include <cstdint>

namespace jaydrift::decide {

/// Effect: answers a caller's urgent request.
struct answer_caller
{
    /// Identifies the open call that the answer belongs to.
    std::uint64_t call = 0;

    request_result result;
};

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_ANSWER_CALLER_HPP
