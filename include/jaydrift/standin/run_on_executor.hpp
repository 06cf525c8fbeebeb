#ifndef JAYDRIFT_STANDIN_RUN_ON_EXECUTOR_HPP
#define JAYDRIFT_STANDIN_RUN_ON_EXECUTOR_HPP

#include <cstdint>
#include <string>

namespace jaydrift::standin {

/// Effect: passes an urgent request to the executor of its kind, which is a
/// backend server that the worker calls.
struct run_on_executor
{
    std::string task;
    std::uint32_t attempt = 0;
    std::string kind;
    std::string payload;
};

} // namespace jaydrift::standin

#endif // JAYDRIFT_STANDIN_RUN_ON_EXECUTOR_HPP
