#ifndef JAYDRIFT_STANDIN_WORKER_FAULT_HPP
#define JAYDRIFT_STANDIN_WORKER_FAULT_HPP

#include <cstdint>

namespace jaydrift::standin {

/// Faults of a worker that tests can set.
enum class worker_fault : std::uint8_t
{
    /// Value not 0: every task fails as soon as it is started.
    fail_starts,
    /// Value not 0: the VM is leaving and refuses starts.
    leave,
    /// Lag of the usage reports in milliseconds.
    usage_lag,
    /// Run times relative to the declared ones, in thousandths.
    run_time_permille,
    /// Measured usage relative to the declared demand, in thousandths.
    usage_permille
};

} // namespace jaydrift::standin

#endif // JAYDRIFT_STANDIN_WORKER_FAULT_HPP
