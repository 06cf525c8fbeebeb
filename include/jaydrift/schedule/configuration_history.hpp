#ifndef JAYDRIFT_SCHEDULE_CONFIGURATION_HISTORY_HPP
#define JAYDRIFT_SCHEDULE_CONFIGURATION_HISTORY_HPP

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace jaydrift::schedule {

/// Since which revisions of the store the queues of the configuration are as
/// they are. A revision may be later than that of the change, if several
/// changes were read at once.
struct configuration_history
{
    /// All later changes are known; 0 if no configuration has been read.
    std::uint64_t complete_since = 0;

    /// Revisions of the last changes of queues, and of the removals of those
    /// that are gone, by name.
    std::map<std::string, std::uint64_t, std::less<>> changed_at;
    std::map<std::string, std::uint64_t, std::less<>> removed_at;

    /// Revision of the last change, and `configuration_changes::hash_of` the
    /// configuration since then.
    std::uint64_t last_change = 0;
    std::uint64_t hash = 0;
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_CONFIGURATION_HISTORY_HPP
