#ifndef JAYDRIFT_STANDIN_EXECUTOR_ANSWERED_HPP
#define JAYDRIFT_STANDIN_EXECUTOR_ANSWERED_HPP

#include <jaydrift/standin/executor_result.hpp>

#include <cstdint>
#include <string>

namespace jaydrift::standin {

/// Event: the executor has answered an urgent request.
struct executor_answered
{
    std::string task;
    std::uint32_t attempt = 0;
    executor_result result = executor_result::finished;
    /// The answer, or the reason why the request failed or was not run.
    std::string answer;
};

} // namespace jaydrift::standin

#endif // JAYDRIFT_STANDIN_EXECUTOR_ANSWERED_HPP
