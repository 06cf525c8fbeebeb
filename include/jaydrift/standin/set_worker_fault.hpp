#ifndef JAYDRIFT_STANDIN_SET_WORKER_FAULT_HPP
#define JAYDRIFT_STANDIN_SET_WORKER_FAULT_HPP

#include <jaydrift/standin/worker_fault.hpp>

#include <cstdint>

namespace jaydrift::standin {

/// Event: sets a fault of the worker to the value that `worker_fault`
/// describes.
struct set_worker_fault
{
    worker_fault fault = worker_fault::fail_starts;
    std::int64_t value = 0;
};

} // namespace jaydrift::standin

#endif // JAYDRIFT_STANDIN_SET_WORKER_FAULT_HPP
