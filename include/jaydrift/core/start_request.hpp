#ifndef JAYDRIFT_CORE_START_REQUEST_HPP
#define JAYDRIFT_CORE_START_REQUEST_HPP

#include <jaydrift/core/ownership_term.hpp>
#include <jaydrift/core/task_spec.hpp>
#include <jaydrift/core/time_ms.hpp>

#include <cstdint>
#include <string>

namespace jaydrift {

/// Starts a task; an urgent request carries its payload.
struct start_request
{
    ownership_term term;
    task_spec task;
    std::uint32_t attempt = 0;

    /// Latest start, in the worker's clock; a later arrival is refused.
    time_ms start_before;
    std::string payload;
};

} // namespace jaydrift

#endif // JAYDRIFT_CORE_START_REQUEST_HPP
