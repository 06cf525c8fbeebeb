#ifndef JAYDRIFT_CORE_VIRTUAL_CLOCK_HPP
#define JAYDRIFT_CORE_VIRTUAL_CLOCK_HPP

#include <jaydrift/core/time_ms.hpp>

namespace jaydrift {

/// Clock that moves only through `advance`, for tests of the reducers.
class virtual_clock
{
public:
    time_ms now() const { return now_; }

    void advance(time_ms duration) { now_ += duration; }

private:
    time_ms now_;
};

} // namespace jaydrift

#endif // JAYDRIFT_CORE_VIRTUAL_CLOCK_HPP
