#ifndef JAYDRIFT_STANDIN_BACKEND_EVENT_HPP
#define JAYDRIFT_STANDIN_BACKEND_EVENT_HPP

#include <jaydrift/standin/execute_called.hpp>
#include <jaydrift/standin/set_backend_fault.hpp>
#include <jaydrift/standin/timer_due.hpp>

#include <variant>

namespace jaydrift::standin {

/// Events of the backend server's reducer.
using backend_event =
    std::variant<timer_due, execute_called, set_backend_fault>;

} // namespace jaydrift::standin

#endif // JAYDRIFT_STANDIN_BACKEND_EVENT_HPP
