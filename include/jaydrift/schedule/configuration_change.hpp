#ifndef JAYDRIFT_SCHEDULE_CONFIGURATION_CHANGE_HPP
#define JAYDRIFT_SCHEDULE_CONFIGURATION_CHANGE_HPP

#include <jaydrift/schedule/queue.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace jaydrift::schedule {

/// What turns an earlier version of the operators' configuration into a later
/// one.
struct configuration_change
{
    /// Version of the result.
    std::uint64_t version = 0;

    /// Queues that were added, and new content of those that were changed.
    std::vector<queue> queues;

    /// Names of the queues that were removed.
    std::vector<std::string> removed;

    /// `configuration_changes::hash_of` the result.
    std::uint64_t hash = 0;
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_CONFIGURATION_CHANGE_HPP
