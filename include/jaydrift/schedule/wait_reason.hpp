#ifndef JAYDRIFT_SCHEDULE_WAIT_REASON_HPP
#define JAYDRIFT_SCHEDULE_WAIT_REASON_HPP

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace jaydrift::schedule {

/// Why the waiting tasks of a ready step are not started.
enum class wait_reason : std::uint8_t
{
    /// No pass has tried to place them since the step began to wait.
    not_tried,

    /// The daemon holds the shard, but is not its owner now: it recovers the
    /// shard, yields it, or is suspended.
    not_owner,

    /// The store does not hold the submission yet.
    not_stored,

    /// They wait until their `not_before`.
    paused,

    /// An earlier owner may have started them on a worker that has not answered
    /// this owner yet.
    maybe_running,

    /// The pass had used up its starts before it reached them.
    pass_ended,

    /// A request that needs no more of the same workers found no place earlier
    /// in the pass.
    skipped,

    /// Some members of the gang found a place, but not all.
    incomplete_gang,

    // The remaining ones are refusals by workers, in the order of the checks.
    // If workers refuse for different reasons, the last one of them is kept.

    /// No worker of the service has the label.
    no_worker,

    /// Tasks cannot be started on these workers now.
    no_usable_worker,

    /// The worker is kept for a long-running task of another step.
    kept_free,

    /// Not enough memory or accelerators.
    memory,

    /// Not enough processors that are not reserved.
    processors,

    /// The worker has as many tasks of the step as the step allows.
    step_limit,

    /// The tasks there are expected to leave too few processors unused.
    leftover,

    /// The expected tail latency of serving tasks there is above the tolerance.
    tail,

    /// The processors that are left there are reserved for urgent tasks.
    urgent_reserve
};

inline constexpr std::size_t wait_reasons =
    static_cast<std::size_t>(wait_reason::urgent_reserve) + 1;

/// Returns whether the reason is a refusal by workers.
constexpr bool is_refusal(wait_reason reason)
{
    return reason >= wait_reason::no_worker;
}

/// Returns the name of the reason in log lines and labels of metrics.
std::string_view name_of(wait_reason reason);

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_WAIT_REASON_HPP
