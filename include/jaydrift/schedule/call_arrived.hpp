#ifndef JAYDRIFT_SCHEDULE_CALL_ARRIVED_HPP
#define JAYDRIFT_SCHEDULE_CALL_ARRIVED_HPP

#include <jaydrift/core/time_ms.hpp>
#include <jaydrift/schedule/call_verb.hpp>
#include <jaydrift/schedule/selected_queue.hpp>
#include <jaydrift/schedule/submission.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace jaydrift::schedule {

/// Event: a call arrived, from a caller or forwarded by another daemon.
struct call_arrived
{
    /// Number that `answer_call` refers to.
    std::uint64_t call = 0;
    call_verb verb = call_verb::show;

    /// Name the queue; the rest of the path is the ID of the submission.
    std::string host;
    std::string path;

    /// Present for `submit`.
    std::optional<submission> work;

    /// How long the caller waits for the answer; 0 if it does not say.
    time_ms time_limit;

    /// Shard that another daemon has forwarded the call to; absent if it comes
    /// from a caller.
    std::optional<std::uint32_t> forwarded_to;

    /// Queue that the forwarding daemon has selected; absent if that one is of
    /// an earlier release.
    std::optional<selected_queue> selected;
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_CALL_ARRIVED_HPP
