#ifndef JAYDRIFT_SCHEDULE_CONFIGURATION_CHANGES_HPP
#define JAYDRIFT_SCHEDULE_CONFIGURATION_CHANGES_HPP

#include <jaydrift/schedule/configuration.hpp>
#include <jaydrift/schedule/configuration_change.hpp>

#include <cstdint>
#include <optional>
#include <variant>

namespace jaydrift::schedule {

struct configuration_history;

/// Differences between versions of the configuration. Daemons pass these on to
/// each other, since operators and the store only know whole configurations.
namespace configuration_changes {

/// Returns a hash of the version and the queues, which is the same in every
/// process. The order of the queues does not matter.
std::uint64_t hash_of(configuration const& config);

/// Notes what a configuration of the given revision changes; `before` is null
/// if it is the first one.
void note(configuration_history& history, configuration const* before,
          configuration const& after, std::uint64_t revision);

/// Returns what has changed after a revision: nothing, the difference, or the
/// whole configuration if the difference is unknown.
std::variant<std::monostate, configuration, configuration_change>
since(configuration_history const& history, configuration const& current,
      std::uint64_t revision);

/// Returns the configuration that a change makes of an earlier one, or nothing
/// if that is not the one that the change is for.
std::optional<configuration> apply(configuration const& before,
                                   configuration_change const& change);

} // namespace configuration_changes

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_CONFIGURATION_CHANGES_HPP
