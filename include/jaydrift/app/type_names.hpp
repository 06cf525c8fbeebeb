#ifndef JAYDRIFT_APP_TYPE_NAMES_HPP
#define JAYDRIFT_APP_TYPE_NAMES_HPP

#include <string_view>

#include <jaydrift/decide/effect.hpp>
#include <jaydrift/decide/event.hpp>

namespace jaydrift::app {

/// Returns the name of an event's type, such as `timer_due`, for metric labels.
std::string_view type_name(decide::event const& input);

/// Returns the name of an effect's type, such as `send_worker`, for metric
/// labels.
std::string_view type_name(decide::effect const& output);

} // namespace jaydrift::app

#endif // JAYDRIFT_APP_TYPE_NAMES_HPP
