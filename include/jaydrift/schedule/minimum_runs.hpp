#ifndef JAYDRIFT_SCHEDULE_MINIMUM_RUNS_HPP
#define JAYDRIFT_SCHEDULE_MINIMUM_RUNS_HPP

#include <jaydrift/core/time_ms.hpp>

#include <span>

namespace jaydrift::schedule {

struct shard_context;
struct submission_state;

/// Keeps opportunistic work from starving. Where such work is placed in the
/// order of submissions, up to a limit of the disturbance, the last ones may
/// never have their turn. So a submission of which nothing runs gets one run at
/// `minimum_pace` wherever there is memory, which firm tasks can have back. The
/// pace is raised once the submission has its turn.
namespace minimum_runs {

/// Time after which a submission with a ready task and nothing running gets a
/// run.
inline constexpr time_ms max_idle_time{1500};

/// Returns whether tasks of the submission wait and nothing of it has run for
/// `max_idle_time`. Once that is so, the submission gets its next run without a
/// pause.
bool is_starved(shard_context const& ctx, submission_state& submission);

/// Starts a run for each of the submissions that needs one, those first that
/// have been idle for longest.
void start(shard_context& ctx, std::span<submission_state* const> waiting,
           bool unaccounted);

/// Raises the pace of the submission's run by one step if the tail latency of
/// serving tasks beside it, relative to their target, is expected to be at most
/// `highest_tail` then.
/// @pre The submission has such a run.
void raise(shard_context& ctx, submission_state& submission,
           double highest_tail);

} // namespace minimum_runs

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_MINIMUM_RUNS_HPP
