#ifndef JAYDRIFT_STANDIN_ANSWER_EXECUTION_HPP
#define JAYDRIFT_STANDIN_ANSWER_EXECUTION_HPP

#include <cstdint>
#include <string>

namespace jaydrift::standin {

/// Effect: answers an `execute_called` with an HTTP status.
struct answer_execution
{
    /// Number of the `execute_called`.
    std::uint64_t number = 0;
    int status = 200;
    std::string body;
};

} // namespace jaydrift::standin

#endif // JAYDRIFT_STANDIN_ANSWER_EXECUTION_HPP
