#ifndef JAYDRIFT_STANDIN_WORKER_EVENT_HPP
#define JAYDRIFT_STANDIN_WORKER_EVENT_HPP

#include <jaydrift/standin/executor_answered.hpp>
#include <jaydrift/standin/set_noise.hpp>
#include <jaydrift/standin/set_worker_fault.hpp>
#include <jaydrift/standin/timer_due.hpp>
#include <jaydrift/standin/worker_called.hpp>

#include <variant>

namespace jaydrift::standin {

/// Events of the worker's reducer.
using worker_event = std::variant<timer_due, worker_called, executor_answered,
                                  set_worker_fault, set_noise>;

} // namespace jaydrift::standin

#endif // JAYDRIFT_STANDIN_WORKER_EVENT_HPP
