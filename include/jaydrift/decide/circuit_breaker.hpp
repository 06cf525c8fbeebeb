#ifndef JAYDRIFT_DECIDE_CIRCUIT_BREAKER_HPP
#define JAYDRIFT_DECIDE_CIRCUIT_BREAKER_HPP

#include <jaydrift/core/time_ms.hpp>

#include <cstdint>
#include <string>

namespace jaydrift::decide {

/// Circuit breaker that stops urgent work on a worker after failures in a row.
struct circuit_breaker
{
    std::uint32_t failures_in_a_row = 0;
    bool open = false;

    /// When an open breaker lets the next probe through.
    time_ms probe_at;

    /// Time to `probe_at` from the failure that opened the breaker, or from
    /// that of the last probe.
    time_ms probe_interval;

    /// ID of the task that is the probe in progress; empty if there is none.
    std::string probe_task;
};

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_CIRCUIT_BREAKER_HPP
