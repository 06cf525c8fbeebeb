#ifndef JAYDRIFT_SCHEDULE_MEMORY_RECLAIM_HPP
#define JAYDRIFT_SCHEDULE_MEMORY_RECLAIM_HPP

namespace jaydrift::schedule {

struct placement_request;
struct shard_context;
struct worker_group;

/// Takes memory back from opportunistic runs that are paused or at the lowest
/// pace. They may hold any memory that is free, since firm tasks can have it
/// back.
namespace memory_reclaim {

/// Stops such runs on one worker so that the task, for which no worker has
/// memory, fits there, unless runs that free enough are being stopped already.
/// Returns whether there will be room. `group` are the workers for the request.
/// @pre The task is not opportunistic.
bool make_room(shard_context& ctx, placement_request const& request,
               worker_group const& group);

} // namespace memory_reclaim

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_MEMORY_RECLAIM_HPP
