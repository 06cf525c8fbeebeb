#ifndef JAYDRIFT_STANDIN_BACKEND_FAULT_HPP
#define JAYDRIFT_STANDIN_BACKEND_FAULT_HPP

#include <cstdint>

namespace jaydrift::standin {

/// Faults of a backend server that tests can set.
enum class backend_fault : std::uint8_t
{
    /// Addition to the service time in milliseconds.
    slowness,
    /// Value not 0: every execution ends with status 500.
    fail,
    /// Value not 0: new requests are refused, running ones finish.
    drain
};

} // namespace jaydrift::standin

#endif // JAYDRIFT_STANDIN_BACKEND_FAULT_HPP
