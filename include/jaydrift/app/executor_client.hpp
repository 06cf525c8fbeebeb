#ifndef JAYDRIFT_APP_EXECUTOR_CLIENT_HPP
#define JAYDRIFT_APP_EXECUTOR_CLIENT_HPP

#include <jaydrift/core/time_ms.hpp>
#include <jaydrift/standin/executor_answered.hpp>
#include <jaydrift/standin/run_on_executor.hpp>

#include <string>
#include <string_view>

namespace jaydrift::app {

/// Passes an urgent request to the backend server at `backend` (`ip:port`) and
/// waits for its answer. A call without an answer counts as failed, or as not
/// run if it was never sent.
standin::executor_answered
execute_on_backend(std::string_view backend,
                   standin::run_on_executor const& request, time_ms timeout);

} // namespace jaydrift::app

#endif // JAYDRIFT_APP_EXECUTOR_CLIENT_HPP
