#ifndef JAYDRIFT_STANDIN_WORKER_CALLED_HPP
#define JAYDRIFT_STANDIN_WORKER_CALLED_HPP

#include <jaydrift/core/worker_request.hpp>

#include <cstdint>

namespace jaydrift::standin {

/// A call to the worker has arrived.
struct worker_called
{
    std::uint64_t number = 0;
    worker_request request;
};

} // namespace jaydrift::standin

#endif // JAYDRIFT_STANDIN_WORKER_CALLED_HPP
