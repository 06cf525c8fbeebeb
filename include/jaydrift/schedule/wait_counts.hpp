#ifndef JAYDRIFT_SCHEDULE_WAIT_COUNTS_HPP
#define JAYDRIFT_SCHEDULE_WAIT_COUNTS_HPP

#include <jaydrift/schedule/wait_reason.hpp>

#include <array>
#include <cstdint>

namespace jaydrift::schedule {

/// Numbers of waiting tasks by reason, for each range of their wait.
struct wait_counts
{
    using by_reason = std::array<std::int64_t, wait_reasons>;

    by_reason below_1_s{};
    by_reason below_10_s{};
    by_reason from_10_s{};

    bool operator==(wait_counts const&) const = default;
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_WAIT_COUNTS_HPP
