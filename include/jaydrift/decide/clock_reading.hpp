#ifndef JAYDRIFT_DECIDE_CLOCK_READING_HPP
#define JAYDRIFT_DECIDE_CLOCK_READING_HPP

#include <jaydrift/core/time_ms.hpp>

namespace jaydrift::decide {

/// Lower bound of a worker's clock: at owner time `t` it reads at least
/// `t + offset`.
struct clock_reading
{
    time_ms offset;
    time_ms read_at;
};

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_CLOCK_READING_HPP
