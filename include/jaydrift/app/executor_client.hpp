#ifndef JAYDRIFT_APP_EXECUTOR_CLIENT_HPP
#define JAYDRIFT_APP_EXECUTOR_CLIENT_HPP

#include <jaydrift/core/time_ms.hpp>
#include <jaydrift/standin/executor_answered.hpp>
#include <jaydrift/standin/run_on_executor.hpp>

#include <string>
#include <string_view>

namespace jaydrift::app {

/// Passes an urgent request to a backend server and waits for its answer.
standin::executor_answered execute_on(std::string_view backend,
                                      standin::run_on_executor const& effect,
                                      time_ms timeout);

} // namespace jaydrift::app

#endif // JAYDRIFT_APP_EXECUTOR_CLIENT_HPP
