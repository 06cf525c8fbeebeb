#ifndef JAYDRIFT_DECIDE_ANSWER_OPERATOR_HPP
#define JAYDRIFT_DECIDE_ANSWER_OPERATOR_HPP

#include <jaydrift/core/operator_reply.hpp>

#include <cstdint>

namespace jaydrift::decide {

/// Effect: answers an operator's call.
struct answer_operator
{
    /// Identifies the open call that the answer belongs to.
    std::uint64_t call = 0;

    operator_reply reply;
};

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_ANSWER_OPERATOR_HPP
