#ifndef JAYDRIFT_SOAK_WORKER_DRAIN_HPP
#define JAYDRIFT_SOAK_WORKER_DRAIN_HPP

#include <jaydrift/core/time_ms.hpp>

namespace jaydrift::soak {

/// Times of a worker that drains.
struct worker_drain
{
    /// When the store acknowledged the worker's entry.
    time_ms since;

    /// When the worker exits.
    time_ms leave;
};

} // namespace jaydrift::soak

#endif // JAYDRIFT_SOAK_WORKER_DRAIN_HPP
