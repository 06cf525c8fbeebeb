#ifndef JAYDRIFT_STANDIN_CANCEL_ON_EXECUTOR_HPP
#define JAYDRIFT_STANDIN_CANCEL_ON_EXECUTOR_HPP

#include <cstdint>
#include <string>

namespace jaydrift::standin {

/// Effect: cancels an urgent request that was passed to the executor. A late
/// answer of the executor is ignored.
struct cancel_on_executor
{
    std::string task;
    std::uint32_t attempt = 0;
};

} // namespace jaydrift::standin

#endif // JAYDRIFT_STANDIN_CANCEL_ON_EXECUTOR_HPP
