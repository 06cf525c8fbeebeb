#ifndef JAYDRIFT_STANDIN_WORKER_CALLED_HPP
#define JAYDRIFT_STANDIN_WORKER_CALLED_HPP

#include <jaydrift/core/worker_request.hpp>

#include <cstdint>

namespace jaydrift::standin {

/// Event: a call to the worker has arrived.
struct worker_called
{
    /// Identifies the call; `answer_worker_call` repeats it.
    std::uint64_t number = 0;
    worker_request request;
};

} // namespace jaydrift::standin

#endif // JAYDRIFT_STANDIN_WORKER_CALLED_HPP
