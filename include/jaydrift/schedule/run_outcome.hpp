#ifndef JAYDRIFT_SCHEDULE_RUN_OUTCOME_HPP
#define JAYDRIFT_SCHEDULE_RUN_OUTCOME_HPP

#include <cstdint>

namespace jaydrift::schedule {

/// How a run ended, as the worker tells it.
enum class run_outcome : std::uint8_t
{
    /// The run ended by itself without an error. This completes its task unless
    /// that is long-running: then the task starts again.
    done,

    /// The task or the worker failed.
    failed,

    /// By a stop order.
    stopped,

    /// The lease of the worker ran out.
    lease_lapsed,

    /// Another member of the gang ended.
    gang_member_ended,

    /// The other members of the gang did not start in time.
    gang_incomplete
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_RUN_OUTCOME_HPP
