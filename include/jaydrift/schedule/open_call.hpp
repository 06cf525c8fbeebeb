#ifndef JAYDRIFT_SCHEDULE_OPEN_CALL_HPP
#define JAYDRIFT_SCHEDULE_OPEN_CALL_HPP

#include <jaydrift/core/time_ms.hpp>
#include <jaydrift/schedule/call_arrived.hpp>
#include <jaydrift/schedule/call_part.hpp>
#include <jaydrift/schedule/selected_queue.hpp>

#include <optional>
#include <vector>

namespace jaydrift::schedule {

/// A call that has no answer yet.
struct open_call
{
    call_arrived request;
    time_ms arrived_at;

    /// Queue by the newest configuration of the daemons that have handled the
    /// call; absent until this daemon has selected one.
    std::optional<selected_queue> selected;

    /// One for the submission's shard or, if the call asks for a count, one for
    /// each shard.
    std::vector<call_part> parts;
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_OPEN_CALL_HPP
