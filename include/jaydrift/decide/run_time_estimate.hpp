#ifndef JAYDRIFT_DECIDE_RUN_TIME_ESTIMATE_HPP
#define JAYDRIFT_DECIDE_RUN_TIME_ESTIMATE_HPP

#include <cstdint>

namespace jaydrift::decide {

/// How long tasks of a kind run, compared with their declared run time.
struct run_time_estimate
{
    /// Measured run time in thousandths of the declared one, averaged.
    std::int64_t ratio_permille = 1000;

    /// Number of tasks that were measured.
    std::uint32_t samples = 0;
};

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_RUN_TIME_ESTIMATE_HPP
