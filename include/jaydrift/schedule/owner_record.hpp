#ifndef JAYDRIFT_SCHEDULE_OWNER_RECORD_HPP
#define JAYDRIFT_SCHEDULE_OWNER_RECORD_HPP

#include <cstdint>
#include <string>

namespace jaydrift::schedule {

/// Record of the daemon that owns a shard. The revision of the record in the
/// store is the fencing token of the owner.
struct owner_record
{
    std::string node;

    /// Address of the daemon's peer port.
    std::string address;

    /// 0 for the first owner; one more for each successor.
    std::uint64_t term = 0;

    /// Distinguishes the processes of a daemon that is restarted under its
    /// name; see `settings::incarnation`.
    std::uint64_t incarnation = 0;
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_OWNER_RECORD_HPP
