#ifndef JAYDRIFT_CORE_STEADY_CLOCK_HPP
#define JAYDRIFT_CORE_STEADY_CLOCK_HPP

#include <jaydrift/core/time_ms.hpp>

#include <chrono>

namespace jaydrift {

/// The VM's monotonic clock. It does not jump when the wall clock is set, so
/// leases and deadlines use it.
class steady_clock
{
public:
    time_ms now() const
    {
        using namespace std::chrono;
        auto const since_boot = std::chrono::steady_clock::now();
        return time_ms(
            duration_cast<milliseconds>(since_boot.time_since_epoch()).count());
    }
};

} // namespace jaydrift

#endif // JAYDRIFT_CORE_STEADY_CLOCK_HPP
