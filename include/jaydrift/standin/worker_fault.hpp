#ifndef JAYDRIFT_STANDIN_WORKER_FAULT_HPP
#define JAYDRIFT_STANDIN_WORKER_FAULT_HPP

#include <cstdint>

namespace jaydrift::standin {

/// Faults that a test can set on a worker.
enum class worker_fault : std::uint8_t
{
    /// If not 0, every task fails as soon as it is started.
    fail_starts,
    /// If not 0, the VM is leaving and refuses starts.
    leave,
    /// Minimum age of a reported usage measurement, in milliseconds.
    usage_lag,
    /// Ratio of actual to declared run times, in thousandths; limited to 1 to
    /// 100000.
    run_time_permille,
    /// Ratio of measured usage to declared demand, in thousandths; limited to 1
    /// to 100000.
    usage_permille
};

} // namespace jaydrift::standin

#endif // JAYDRIFT_STANDIN_WORKER_FAULT_HPP
