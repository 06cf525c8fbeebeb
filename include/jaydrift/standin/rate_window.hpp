#ifndef JAYDRIFT_STANDIN_RATE_WINDOW_HPP
#define JAYDRIFT_STANDIN_RATE_WINDOW_HPP

#include <jaydrift/core/time_ms.hpp>

#include <cstdint>

namespace jaydrift::standin {

/// Limits the rate of calls in fixed windows of one second.
class rate_window
{
public:
    /// Counts a call. Returns false, without counting it, if the window already
    /// has `limit` calls. A clock that went back starts a new window.
    bool admit(std::uint32_t limit, time_ms now)
    {
        if (now - start_ >= time_ms(1000) || now < start_)
        {
            start_ = now;
            admitted_ = 0;
        }
        if (admitted_ >= limit)
        {
            return false;
        }
        ++admitted_;
        return true;
    }

private:
    time_ms start_{-1000};
    std::uint32_t admitted_ = 0;
};

} // namespace jaydrift::standin

#endif // JAYDRIFT_STANDIN_RATE_WINDOW_HPP
