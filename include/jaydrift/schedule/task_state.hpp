#ifndef JAYDRIFT_SCHEDULE_TASK_STATE_HPP
#define JAYDRIFT_SCHEDULE_TASK_STATE_HPP

#include <jaydrift/core/time_ms.hpp>
#include <jaydrift/schedule/placement.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace jaydrift::schedule {

/// A task, as held by the owner of its submission's shard.
struct task_state
{
    /// The task has ended with success. Never set for a long-running task.
    bool done = false;

    /// Numbers of the runs that failed; not kept for long-running tasks.
    std::vector<std::uint64_t> failed_runs;

    /// Highest number of a run whose end a worker reported, whatever its
    /// outcome; also that of a run that failed or was stopped. If a member of a
    /// gang is done, its number counts for all members.
    std::uint64_t highest_ended_run = 0;

    /// Highest number of a run that was ordered.
    std::uint64_t last_run = 0;

    /// Absent while the task waits.
    std::optional<placement> place;

    /// Last known checkpoint; the next run starts from it.
    std::string checkpoint;

    /// Worker on which a run last failed or hung; later runs avoid it.
    std::string failed_on;

    /// Time since which the task has had no place.
    time_ms waiting_since;

    /// Number of times that a paused run was stopped to go on elsewhere.
    std::uint32_t moves = 0;

    /// Earliest time of the next start.
    time_ms not_before;

    /// An earlier owner may have started the task on a worker that has not
    /// answered this owner yet.
    bool maybe_running = false;

    /// Another shard has the task, or is about to get it. It has no place here.
    bool elsewhere = false;

    /// Shards that had the task before may have used numbers up to this one for
    /// its runs.
    std::uint64_t run_base = 0;
};

/// Returns whether the task waits for a place in this shard.
inline bool waits(task_state const& task)
{
    return !task.done && !task.place && !task.elsewhere;
}

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_TASK_STATE_HPP
