#ifndef JAYDRIFT_CORE_VIRTUAL_CLOCK_HPP
#define JAYDRIFT_CORE_VIRTUAL_CLOCK_HPP

#include <jaydrift/core/time_ms.hpp>

namespace jaydrift {

/// Clock that only moves when told to, for tests of decisions.
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
