#ifndef JAYDRIFT_SCHEDULE_PENDING_STORE_CALL_HPP
#define JAYDRIFT_SCHEDULE_PENDING_STORE_CALL_HPP

#include <jaydrift/core/time_ms.hpp>
#include <jaydrift/schedule/store_purpose.hpp>

#include <cstdint>
#include <optional>

namespace jaydrift::schedule {

/// A call to the store that has not ended.
struct pending_store_call
{
    store_purpose purpose = store_purpose::read_operators;

    /// Shard that the reply concerns; 0 if it concerns none.
    std::uint32_t shard = 0;
    time_ms sent_at;

    /// When the store should send its reply.
    time_ms reply_due_at;

    /// The reply is overdue this long after it was due. The call may end then
    /// if no byte of its reply has arrived for as long.
    time_ms silence_limit;

    /// Sending time of the latest answered call that has shown this one to be
    /// overdue.
    std::optional<time_ms> last_evidence;
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_PENDING_STORE_CALL_HPP
