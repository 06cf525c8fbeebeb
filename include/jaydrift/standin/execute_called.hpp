#ifndef JAYDRIFT_STANDIN_EXECUTE_CALLED_HPP
#define JAYDRIFT_STANDIN_EXECUTE_CALLED_HPP

#include <cstdint>
#include <string>

namespace jaydrift::standin {

/// Event: a worker asks a backend server to execute a request.
struct execute_called
{
    /// Identifies the call; `answer_execution` repeats it.
    std::uint64_t number = 0;
    /// ID of the request.
    std::string request;
    std::string kind;
    std::string payload;
};

} // namespace jaydrift::standin

#endif // JAYDRIFT_STANDIN_EXECUTE_CALLED_HPP
