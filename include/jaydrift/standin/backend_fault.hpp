#ifndef JAYDRIFT_STANDIN_BACKEND_FAULT_HPP
#define JAYDRIFT_STANDIN_BACKEND_FAULT_HPP

#include <cstdint>

namespace jaydrift::standin {

/// Faults that a test can set on a backend server.
enum class backend_fault : std::uint8_t
{
    /// Addition to the service time in milliseconds.
    slowness,
    /// If not 0, every execution ends with status 500.
    fail,
    /// If not 0, new requests are refused; running ones finish.
    drain
};

} // namespace jaydrift::standin

#endif // JAYDRIFT_STANDIN_BACKEND_FAULT_HPP
