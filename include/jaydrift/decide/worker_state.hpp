#ifndef JAYDRIFT_DECIDE_WORKER_STATE_HPP
#define JAYDRIFT_DECIDE_WORKER_STATE_HPP

namespace jaydrift::decide {

/// State of the worker module.
struct worker_state
{
};

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_WORKER_STATE_HPP
