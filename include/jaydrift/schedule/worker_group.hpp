#ifndef JAYDRIFT_SCHEDULE_WORKER_GROUP_HPP
#define JAYDRIFT_SCHEDULE_WORKER_GROUP_HPP

#include <jaydrift/schedule/wait_reason.hpp>

#include <span>

namespace jaydrift::schedule {

struct worker_state;

/// The workers that may run tasks of one service with one required label. Does
/// not own them.
struct worker_group
{
    /// In the order of their IDs.
    std::span<worker_state* const> usable;

    /// Why the others are left out: `no_usable_worker` if the service and label
    /// of any would match, else `no_worker`.
    wait_reason refusal = wait_reason::no_worker;
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_WORKER_GROUP_HPP
