#ifndef JAYDRIFT_DECIDE_WORKER_CHOICE_HPP
#define JAYDRIFT_DECIDE_WORKER_CHOICE_HPP

#include <jaydrift/core/resources.hpp>
#include <jaydrift/core/shard_id.hpp>
#include <jaydrift/core/task_class.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace jaydrift::decide {

struct context;

namespace requests {

/// What a request needs from a worker.
struct placement_demand
{
    std::string_view kind;
    task_class priority = task_class::urgent;
    resources demand;

    /// The worker that refused the last start; chosen only if no other fits.
    std::string_view refused_by;
};

/// Result of the search for a worker.
struct worker_choice
{
    /// The worker with room, if one was found.
    std::optional<std::string> worker;

    /// The usable worker with the least load among those without room.
    std::optional<std::string> least_loaded;
};

/// Chooses the better of two random workers with room. The number of workers
/// that are examined is bounded for any size of the shard.
worker_choice choose_worker(context& ctx, shard_id const& shard,
                            placement_demand const& demand);

/// Tells whether any worker of the shard may be given work.
bool any_usable_worker(context const& ctx, shard_id const& shard);

} // namespace requests

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_WORKER_CHOICE_HPP
