#ifndef JAYDRIFT_APP_EFFECT_NAMES_HPP
#define JAYDRIFT_APP_EFFECT_NAMES_HPP

#include <string_view>

#include <jaydrift/decide/effect.hpp>
#include <jaydrift/decide/event.hpp>

namespace jaydrift::app {

/// Returns the type of an event, such as `timer_due`, for metrics.
std::string_view name_of(decide::event const& input);

/// Returns the type of an effect, such as `send_worker`, for metrics.
std::string_view name_of(decide::effect const& output);

} // namespace jaydrift::app

#endif // JAYDRIFT_APP_EFFECT_NAMES_HPP
