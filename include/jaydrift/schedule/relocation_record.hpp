#ifndef JAYDRIFT_SCHEDULE_RELOCATION_RECORD_HPP
#define JAYDRIFT_SCHEDULE_RELOCATION_RECORD_HPP

#include <jaydrift/core/time_ms.hpp>

#include <cstdint>
#include <string>

namespace jaydrift::schedule {

/// Record by which the owner of the first shard of a submission sends all calls
/// about it to the second shard, also those that a caller repeats: without the
/// record, both shards could accept the submission.
struct relocation_record
{
    std::string id;

    /// Shard that the submission was relocated to.
    std::uint32_t second_shard = 0;

    /// Wall clock time of the decision.
    time_ms decided_at;
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_RELOCATION_RECORD_HPP
