#ifndef JAYDRIFT_SCHEDULE_TAIL_LIMITS_HPP
#define JAYDRIFT_SCHEDULE_TAIL_LIMITS_HPP

namespace jaydrift::schedule::tail_limits {

// Tail latencies of serving tasks, relative to their target, at which decisions
// about the opportunistic tasks beside them change. Pacing keeps the tail
// latency of a busy worker at `after_slow_down`, which is above the limits for
// a start at full pace, so these alone do not bound how long a task waits; see
// `minimum_runs`.

/// A task may start up to this one if its submission can still meet its
/// objective, or if other work that can is waiting.
inline constexpr double start_in_time = 0.7;

/// Runs that were slowed down are sped up below this one.
inline constexpr double speed_up_below = 0.75;

/// Aim of a change of the paces.
inline constexpr double after_slow_down = 0.8;

/// Highest one up to which a task of a late submission may start.
inline constexpr double start_late = 0.8;

/// A run at the lowest pace may be raised up to this one while no work in time
/// waits.
inline constexpr double raise = 0.9;

/// A run resumes up to this one after a long pause.
inline constexpr double resume = 0.9;

/// Runs are slowed down above this one.
inline constexpr double slow_down_above = 0.95;

static_assert(start_in_time < speed_up_below && speed_up_below < after_slow_down
              && start_late <= after_slow_down && raise < slow_down_above
              && resume < slow_down_above);

} // namespace jaydrift::schedule::tail_limits

#endif // JAYDRIFT_SCHEDULE_TAIL_LIMITS_HPP
