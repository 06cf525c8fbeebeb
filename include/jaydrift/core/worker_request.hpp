#ifndef JAYDRIFT_CORE_WORKER_REQUEST_HPP
#define JAYDRIFT_CORE_WORKER_REQUEST_HPP

#include <jaydrift/core/fence_request.hpp>
#include <jaydrift/core/renew_request.hpp>
#include <jaydrift/core/start_request.hpp>
#include <jaydrift/core/task_action_request.hpp>

#include <variant>

namespace jaydrift {

/// Any request to a worker.
using worker_request = std::variant<fence_request, renew_request, start_request,
                                    task_action_request>;

} // namespace jaydrift

#endif // JAYDRIFT_CORE_WORKER_REQUEST_HPP
