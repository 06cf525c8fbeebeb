#ifndef JAYDRIFT_SCHEDULE_ROSTER_RECORD_HPP
#define JAYDRIFT_SCHEDULE_ROSTER_RECORD_HPP

#include <functional>
#include <set>
#include <string>

namespace jaydrift::schedule {

/// Record of the daemons that may take over from the owner of a shard; others
/// claim it only after a long silence of the owner. Only the owner changes the
/// record. During an outage of the store, the owner can go on as long as it
/// hears all of them, since none of them has taken over then.
struct roster_record
{
    std::set<std::string, std::less<>> nodes;

    bool operator==(roster_record const&) const = default;
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_ROSTER_RECORD_HPP
