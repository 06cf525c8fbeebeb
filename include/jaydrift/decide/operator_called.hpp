#ifndef JAYDRIFT_DECIDE_OPERATOR_CALLED_HPP
#define JAYDRIFT_DECIDE_OPERATOR_CALLED_HPP

#include <jaydrift/core/operator_request.hpp>

#include <cstdint>

namespace jaydrift::decide {

/// Event: an operator sent a request.
struct operator_called
{
    /// Identifies the open call that the answer belongs to.
    std::uint64_t call = 0;

    operator_request request;
};

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_OPERATOR_CALLED_HPP
