#ifndef JAYDRIFT_CORE_BOOT_CLOCK_HPP
#define JAYDRIFT_CORE_BOOT_CLOCK_HPP

#include <jaydrift/core/time_ms.hpp>

#include <ctime>

namespace jaydrift {

/// The VM's monotonic clock that also counts the time of a suspension, so that
/// a process notices that it was suspended.
class boot_clock
{
public:
    time_ms now() const
    {
        constexpr std::int64_t ms_per_second = 1000;
        constexpr std::int64_t ns_per_ms = 1000000;
        std::timespec reading{};
        clock_gettime(CLOCK_BOOTTIME, &reading);
        return time_ms(reading.tv_sec * ms_per_second
                       + reading.tv_nsec / ns_per_ms);
    }
};

} // namespace jaydrift

#endif // JAYDRIFT_CORE_BOOT_CLOCK_HPP
