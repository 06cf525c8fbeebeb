#ifndef JAYDRIFT_CORE_CLOCK_HPP
#define JAYDRIFT_CORE_CLOCK_HPP

#include <jaydrift/core/time_ms.hpp>

#include <concepts>

namespace jaydrift {

/// Source of the current time of a process.
template<class Clock>
concept clock = requires(Clock& source)
{
    {
        source.now()
        } -> std::same_as<time_ms>;
};

} // namespace jaydrift

#endif // JAYDRIFT_CORE_CLOCK_HPP
