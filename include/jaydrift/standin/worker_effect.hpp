#ifndef JAYDRIFT_STANDIN_WORKER_EFFECT_HPP
#define JAYDRIFT_STANDIN_WORKER_EFFECT_HPP

#include <jaydrift/standin/answer_worker_call.hpp>
#include <jaydrift/standin/cancel_on_executor.hpp>
#include <jaydrift/standin/record_event.hpp>
#include <jaydrift/standin/run_on_executor.hpp>

#include <variant>
#include <vector>

namespace jaydrift::standin {

/// Effects of the worker's reducer, to be carried out by its process.
using worker_effect = std::variant<answer_worker_call, run_on_executor,
                                   cancel_on_executor, record_event>;

using worker_effects = std::vector<worker_effect>;

} // namespace jaydrift::standin

#endif // JAYDRIFT_STANDIN_WORKER_EFFECT_HPP
