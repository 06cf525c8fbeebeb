#ifndef JAYDRIFT_SCHEDULE_CANCELLATION_RECORD_HPP
#define JAYDRIFT_SCHEDULE_CANCELLATION_RECORD_HPP

#include <jaydrift/core/time_ms.hpp>

#include <string>

namespace jaydrift::schedule {

/// Record of a cancelled ID that the shard did not know. A submission with this
/// ID that arrives later is refused.
struct cancellation_record
{
    std::string id;

    /// Wall clock time of the cancel.
    time_ms cancelled_at;
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_CANCELLATION_RECORD_HPP
