#ifndef JAYDRIFT_STANDIN_STORE_EFFECT_HPP
#define JAYDRIFT_STANDIN_STORE_EFFECT_HPP

#include <jaydrift/standin/answer_store_call.hpp>
#include <jaydrift/standin/drop_store_call.hpp>
#include <jaydrift/standin/record_event.hpp>

#include <variant>
#include <vector>

namespace jaydrift::standin {

/// Effects of the store's reducer, to be carried out by its process.
using store_effect =
    std::variant<answer_store_call, drop_store_call, record_event>;

using store_effects = std::vector<store_effect>;

} // namespace jaydrift::standin

#endif // JAYDRIFT_STANDIN_STORE_EFFECT_HPP
