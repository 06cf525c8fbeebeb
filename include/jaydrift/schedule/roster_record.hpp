#ifndef JAYDRIFT_SCHEDULE_ROSTER_RECORD_HPP
#define JAYDRIFT_SCHEDULE_ROSTER_RECORD_HPP

#include <functional>
#include <set>
#include <string>

namespace jaydrift::schedule {

/// The daemons that may succeed the owner of a shard. Only the owner changes
/// it, so that without the store it knows whom it has to hear.
struct roster_record
{
    std::set<std::string, std::less<>> nodes;

    bool operator==(roster_record const&) const = default;
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_ROSTER_RECORD_HPP
