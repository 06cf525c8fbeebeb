#ifndef JAYDRIFT_SCHEDULE_STORE_PURPOSE_HPP
#define JAYDRIFT_SCHEDULE_STORE_PURPOSE_HPP

#include <cstdint>

namespace jaydrift::schedule {

/// What the reducer calls the store for; decides who gets the reply.
enum class store_purpose : std::uint8_t
{
    read_operators,
    watch_operators,
    read_coordination,
    watch_coordination,
    read_workers,
    watch_workers,
    read_submissions,
    read_assignments,

    /// Reads a submission of another shard; see `guest_submissions`.
    read_guest,

    /// Reads the worker entries to choose the number of shards.
    count_workers,
    write_layout,

    /// Writes the member record of this daemon.
    register_member,
    remove_member,

    /// Replaces the owner record by one of this daemon.
    claim,
    verify_owner,

    /// Reads the write serial of a shard whose owner is silent.
    read_serial,
    write_roster,

    /// Assigns a worker to another shard, or removes an assignment.
    assign_worker,
    remove_assignment,

    /// The same for tasks.
    assign_tasks,
    remove_task_assignments,

    /// Asks whether the store answers.
    probe,

    /// Writes a transaction of the record log, which may overwrite records.
    append
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_STORE_PURPOSE_HPP
