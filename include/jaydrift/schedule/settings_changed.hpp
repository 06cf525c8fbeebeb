#ifndef JAYDRIFT_SCHEDULE_SETTINGS_CHANGED_HPP
#define JAYDRIFT_SCHEDULE_SETTINGS_CHANGED_HPP

#include <jaydrift/schedule/settings.hpp>

namespace jaydrift::schedule {

/// Event: the daemon's settings were read again. Name, address and incarnation
/// of the running daemon stay.
struct settings_changed
{
    settings options;
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_SETTINGS_CHANGED_HPP
