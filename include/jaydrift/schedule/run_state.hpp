#ifndef JAYDRIFT_SCHEDULE_RUN_STATE_HPP
#define JAYDRIFT_SCHEDULE_RUN_STATE_HPP

#include <jaydrift/core/resources.hpp>
#include <jaydrift/core/time_ms.hpp>
#include <jaydrift/schedule/pace.hpp>
#include <jaydrift/schedule/run_phase.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace jaydrift::schedule {

/// A run on a worker, or a start that the worker has not confirmed yet.
struct run_state
{
    run_phase phase = run_phase::starting;
    resources demand;
    bool opportunistic = false;
    bool long_running = false;
    std::string image;

    /// Tail latency that a serving task should stay below; 0 for other tasks.
    time_ms latency_target;
    time_ms estimate;

    /// Fencing token of the start order; 0 if another daemon sent it.
    std::uint64_t token = 0;

    /// Time of the start order.
    time_ms started_at;

    /// Time at which the worker confirmed the start, by its reply or by
    /// listing the run.
    std::optional<time_ms> confirmed_at;

    /// Time at which the worker confirmed the stop.
    std::optional<time_ms> stop_confirmed_at;

    /// Time of the next attempt to stop the run.
    time_ms next_stop_at;
    bool stop_in_flight = false;

    /// Progress, as last reported.
    std::uint32_t progress_percent = 0;

    /// Last time that the progress changed.
    time_ms progress_at;

    /// For a task with a latency target, its tail latency in ms; for others,
    /// the millicores that it uses. As last reported; 0 before the first
    /// report.
    std::int64_t load = 0;

    /// Share of its full speed that the worker last confirmed.
    std::uint32_t pace_percent = full_pace;
    bool pace_in_flight = false;

    /// The pace was ordered by an earlier owner; it is estimated from the first
    /// report.
    bool pace_unknown = false;

    /// Highest pace that placement allows.
    std::uint32_t pace_limit = full_pace;

    /// Logarithm of the last reported tail latency of a serving task.
    std::optional<double> last_log_tail;

    /// Time since which the pace has been 0.
    std::optional<time_ms> paused_since;
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_RUN_STATE_HPP
