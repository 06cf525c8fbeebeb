#ifndef JAYDRIFT_SCHEDULE_CHOSEN_WORKER_HPP
#define JAYDRIFT_SCHEDULE_CHOSEN_WORKER_HPP

#include <jaydrift/schedule/wait_reason.hpp>

namespace jaydrift::schedule {

struct worker_state;

/// Result of the choice of a worker for one task. Does not own the worker.
struct chosen_worker
{
    /// Null if no worker suits.
    worker_state* worker = nullptr;

    /// Why none suits: the refusal of the worker that came nearest.
    wait_reason refusal = wait_reason::no_worker;
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_CHOSEN_WORKER_HPP
