#ifndef JAYDRIFT_STANDIN_ANSWER_WORKER_CALL_HPP
#define JAYDRIFT_STANDIN_ANSWER_WORKER_CALL_HPP

#include <jaydrift/core/worker_reply.hpp>

#include <cstdint>

namespace jaydrift::standin {

/// Effect: answers a call to the worker.
struct answer_worker_call
{
    /// Number of the `worker_called`.
    std::uint64_t number = 0;
    worker_reply reply;
};

} // namespace jaydrift::standin

#endif // JAYDRIFT_STANDIN_ANSWER_WORKER_CALL_HPP
