#ifndef JAYDRIFT_SCHEDULE_TASK_PLACEMENT_HPP
#define JAYDRIFT_SCHEDULE_TASK_PLACEMENT_HPP

#include <jaydrift/schedule/wait_reason.hpp>

#include <cstdint>
#include <optional>

namespace jaydrift::schedule {

struct shard_context;
struct submission_state;
struct task_id;
struct task_state;
struct worker_state;

/// Gives a waiting task a place.
namespace task_placement {

/// Returns the number of the next run of a task.
std::uint64_t next_run(shard_context const& ctx, task_state const& task);

/// Returns why a waiting task may not be placed now; absent if it may. A task
/// that an earlier owner may have started waits as long as workers are
/// unaccounted for.
std::optional<wait_reason> hindrance(shard_context const& ctx,
                                     task_state const& task, bool unaccounted);

/// Places a task on a worker as the run with the given number, whose pace is
/// limited to `pace_limit` percent, and counts its demand as used there.
/// `worker_choice::choose` has checked that it fits; for the processors of an
/// opportunistic task, it has compared only with those that other tasks are
/// expected to leave unused.
void reserve(shard_context& ctx, submission_state& submission,
             task_id const& id, worker_state& worker, std::uint64_t number,
             std::uint32_t pace_limit);

} // namespace task_placement

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_TASK_PLACEMENT_HPP
