#ifndef JAYDRIFT_SCHEDULE_RELAYED_VIEW_HPP
#define JAYDRIFT_SCHEDULE_RELAYED_VIEW_HPP

#include <jaydrift/core/time_ms.hpp>
#include <jaydrift/schedule/configuration.hpp>
#include <jaydrift/schedule/configuration_change.hpp>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace jaydrift::schedule {

/// The operators' area as one daemon knows it, for another daemon that has an
/// earlier view of it.
struct relayed_view
{
    /// Revision of the store up to which the view shows the changes.
    std::uint64_t revision = 0;

    /// Age of the view when the call was answered, and when it arrived; the
    /// latter is 0 if the view has become current since.
    time_ms age;
    time_ms lag;

    /// A later view is on its way from the store.
    bool receiving = false;

    /// Revision of the configuration.
    std::uint64_t config_revision = 0;

    /// The configuration, or its difference to that of the earlier view;
    /// neither if it has not changed.
    std::variant<std::monostate, configuration, configuration_change> config;

    /// All zones that are closed.
    std::vector<std::string> closed_zones;
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_RELAYED_VIEW_HPP
