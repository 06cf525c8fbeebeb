#ifndef JAYDRIFT_SCHEDULE_ANSWER_RELAY_CALL_HPP
#define JAYDRIFT_SCHEDULE_ANSWER_RELAY_CALL_HPP

#include <jaydrift/schedule/relayed_view.hpp>

#include <cstdint>
#include <optional>

namespace jaydrift::schedule {

/// Effect: answers the call that came with this number in `relay_call_arrived`.
struct answer_relay_call
{
    std::uint64_t call = 0;

    /// Absent if this daemon has no view, or will not have one for long.
    std::optional<relayed_view> view;
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_ANSWER_RELAY_CALL_HPP
