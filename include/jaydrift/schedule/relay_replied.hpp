#ifndef JAYDRIFT_SCHEDULE_RELAY_REPLIED_HPP
#define JAYDRIFT_SCHEDULE_RELAY_REPLIED_HPP

#include <jaydrift/schedule/relayed_view.hpp>

#include <cstdint>
#include <optional>

namespace jaydrift::schedule {

/// Event: a call to another daemon for the operators' area has ended.
struct relay_replied
{
    std::uint64_t call = 0;

    /// Absent if there was no answer, or none that can be read.
    std::optional<relayed_view> view;
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_RELAY_REPLIED_HPP
