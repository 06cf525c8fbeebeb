#ifndef JAYDRIFT_STANDIN_RATE_WINDOW_HPP
#define JAYDRIFT_STANDIN_RATE_WINDOW_HPP

#include <jaydrift/core/time_ms.hpp>

#include <cstdint>

namespace jaydrift::standin {

/// Counts calls in windows of one second.
class rate_window
{
public:
    /// Counts a call; returns false if the window already has `limit` calls.
    bool admit(std::uint32_t limit, time_ms now)
    {
        if (now - start_ >= time_ms(1000) || now < start_)
        {
            start_ = now;
            used_ = 0;
        }
        if (used_ >= limit)
        {
            return false;
        }
        ++used_;
        return true;
    }

private:
    time_ms start_{-1000};
    std::uint32_t used_ = 0;
};

} // namespace jaydrift::standin

#endif // JAYDRIFT_STANDIN_RATE_WINDOW_HPP
