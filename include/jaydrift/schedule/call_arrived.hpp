#ifndef JAYDRIFT_SCHEDULE_CALL_ARRIVED_HPP
#define JAYDRIFT_SCHEDULE_CALL_ARRIVED_HPP

#include <jaydrift/core/time_ms.hpp>
#include <jaydrift/schedule/call_verb.hpp>
#include <jaydrift/schedule/submission.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace jaydrift::schedule {

/// Event: a caller's call, directly or forwarded by another daemon.
struct call_arrived
{
    std::uint64_t call = 0;
    call_verb verb = call_verb::show;
    std::string host;
    std::string path;

    /// Present for `submit`.
    std::optional<submission> work;

    /// How long the caller waits for the answer.
    time_ms time_limit;

    /// Shard that another daemon has forwarded the call to; absent if it comes
    /// from a caller.
    std::optional<std::uint32_t> forwarded_to;
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_CALL_ARRIVED_HPP
