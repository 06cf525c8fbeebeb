#ifndef JAYDRIFT_STANDIN_BACKEND_SETTINGS_HPP
#define JAYDRIFT_STANDIN_BACKEND_SETTINGS_HPP

#include <jaydrift/core/time_ms.hpp>

#include <cstddef>
#include <cstdint>

namespace jaydrift::standin {

/// Capacity and speed of a backend server.
struct backend_settings
{
    /// Requests executed at the same time; more are refused with status 503.
    std::size_t slots = 8;
    time_ms service_time{20};
    /// Maximum random addition to the service time, uniformly distributed.
    time_ms jitter{0};
};

} // namespace jaydrift::standin

#endif // JAYDRIFT_STANDIN_BACKEND_SETTINGS_HPP
