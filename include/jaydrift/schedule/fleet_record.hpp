#ifndef JAYDRIFT_SCHEDULE_FLEET_RECORD_HPP
#define JAYDRIFT_SCHEDULE_FLEET_RECORD_HPP

#include <map>
#include <string>

namespace jaydrift::schedule {

/// Record of the workers that the owner of a shard may have started tasks on.
/// A new owner needs their addresses to fence them, and a worker's own entry
/// can expire during an outage of the store.
struct fleet_record
{
    /// Address of each worker by its ID.
    std::map<std::string, std::string, std::less<>> addresses;

    bool operator==(fleet_record const&) const = default;
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_FLEET_RECORD_HPP
