#ifndef JAYDRIFT_SCHEDULE_LONG_RUNNING_MOVES_HPP
#define JAYDRIFT_SCHEDULE_LONG_RUNNING_MOVES_HPP

namespace jaydrift::schedule {

struct shard_context;
struct submission_state;
struct task_id;
struct worker_state;

/// Moves long-running tasks between workers where the free room is scattered:
/// each worker has some, but none has enough for a task that waits.
namespace long_running_moves {

/// Looks for a run that fits on another worker and leaves enough room for the
/// waiting long-running task on its own. If there is one, orders it to stop and
/// keeps both workers: its own for the waiting task, the other one for the task
/// that moves. Returns whether it did.
bool make_room(shard_context& ctx, submission_state const& submission,
               task_id const& id);

/// Looks for places on other workers for all long-running tasks of a worker. If
/// each finds one, orders their runs to stop and keeps the places. Returns
/// whether it did, or there was nothing to move.
bool clear(shard_context& ctx, worker_state& from);

} // namespace long_running_moves

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_LONG_RUNNING_MOVES_HPP
