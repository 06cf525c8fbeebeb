#ifndef JAYDRIFT_DECIDE_RUN_TIME_ESTIMATE_HPP
#define JAYDRIFT_DECIDE_RUN_TIME_ESTIMATE_HPP

#include <cstdint>

namespace jaydrift::decide {

/// How long tasks of a kind run, compared with what was declared.
struct run_time_estimate
{
    std::int64_t ratio_permille = 1000;
    std::uint32_t samples = 0;
};

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_RUN_TIME_ESTIMATE_HPP
