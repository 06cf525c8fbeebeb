#ifndef JAYDRIFT_STANDIN_SET_BACKEND_FAULT_HPP
#define JAYDRIFT_STANDIN_SET_BACKEND_FAULT_HPP

#include <jaydrift/standin/backend_fault.hpp>

#include <cstdint>

namespace jaydrift::standin {

/// Event: sets or clears a fault of a backend server; 0 clears it.
struct set_backend_fault
{
    backend_fault fault = backend_fault::slowness;
    std::int64_t value = 0;
};

} // namespace jaydrift::standin

#endif // JAYDRIFT_STANDIN_SET_BACKEND_FAULT_HPP
