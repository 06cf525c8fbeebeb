#ifndef JAYDRIFT_STANDIN_RUNNING_EXECUTION_HPP
#define JAYDRIFT_STANDIN_RUNNING_EXECUTION_HPP

#include <jaydrift/core/time_ms.hpp>
#include <jaydrift/standin/execute_called.hpp>

namespace jaydrift::standin {

/// A request that occupies a slot of a backend server.
struct running_execution
{
    time_ms ends_at;
    execute_called call;
};

} // namespace jaydrift::standin

#endif // JAYDRIFT_STANDIN_RUNNING_EXECUTION_HPP
