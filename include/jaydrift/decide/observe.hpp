#ifndef JAYDRIFT_DECIDE_OBSERVE_HPP
#define JAYDRIFT_DECIDE_OBSERVE_HPP

#include <cstdint>
#include <string>

namespace jaydrift::decide {

/// Effect: adds a sample to a named histogram.
struct observe
{
    std::string metric;

    /// In the unit that the metric's name ends with, such as `_ms`.
    std::int64_t value = 0;
};

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_OBSERVE_HPP
