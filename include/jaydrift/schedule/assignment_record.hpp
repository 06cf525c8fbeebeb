#ifndef JAYDRIFT_SCHEDULE_ASSIGNMENT_RECORD_HPP
#define JAYDRIFT_SCHEDULE_ASSIGNMENT_RECORD_HPP

#include <cstdint>
#include <string>

namespace jaydrift::schedule {

/// Record by which a worker belongs to a shard that the hash of its ID may not
/// name. The owner of the shard that gives the worker away writes it, on the
/// condition that both shards still have the owners that it knows.
struct assignment_record
{
    std::string worker;

    /// Shard that the worker belongs to.
    std::uint32_t shard = 0;

    /// Revision of the owner record of that shard when this record was written.
    std::uint64_t owner_revision = 0;
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_ASSIGNMENT_RECORD_HPP
