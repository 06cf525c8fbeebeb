#ifndef JAYDRIFT_STANDIN_BACKEND_EFFECT_HPP
#define JAYDRIFT_STANDIN_BACKEND_EFFECT_HPP

#include <jaydrift/standin/answer_execution.hpp>
#include <jaydrift/standin/record_event.hpp>

#include <variant>
#include <vector>

namespace jaydrift::standin {

/// Effects of the backend server's reducer, to be carried out by its process.
using backend_effect = std::variant<answer_execution, record_event>;

using backend_effects = std::vector<backend_effect>;

} // namespace jaydrift::standin

#endif // JAYDRIFT_STANDIN_BACKEND_EFFECT_HPP
