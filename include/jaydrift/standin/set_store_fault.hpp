#ifndef JAYDRIFT_STANDIN_SET_STORE_FAULT_HPP
#define JAYDRIFT_STANDIN_SET_STORE_FAULT_HPP

#include <jaydrift/standin/store_fault.hpp>

#include <cstdint>

namespace jaydrift::standin {

/// Event: sets or clears a fault of the store; 0 clears it.
struct set_store_fault
{
    store_fault fault = store_fault::outage;
    std::int64_t value = 0;
};

} // namespace jaydrift::standin

#endif // JAYDRIFT_STANDIN_SET_STORE_FAULT_HPP
