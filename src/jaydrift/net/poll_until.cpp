#include "poll_until.hpp"

#include <jaydrift/core/steady_clock.hpp>

#include <algorithm>
#include <cerrno>
#include <cstdint>

namespace jaydrift::net {

namespace {

/// Longest single wait; it fits into poll's `int` argument.
constexpr std::int64_t max_poll_ms = 1'000'000'000;

} // namespace

time_ms monotonic_now() { return steady_clock().now(); }

bool poll_until(std::span<pollfd> descriptors, time_ms deadline)
{
    for (;;)
    {
        auto const remaining_ms = (deadline - monotonic_now()).count();
        if (remaining_ms < 0)
        {
            return false;
        }
        // One millisecond is added, because the deadline has passed only when
        // the clock shows a later millisecond.
        auto const ready =
            poll(descriptors.data(), descriptors.size(),
                 static_cast<int>(std::min(remaining_ms + 1, max_poll_ms)));
        // A signal interrupts poll (EINTR) and a long wait ends at
        // `max_poll_ms`; both go on waiting.
        if (ready > 0 || (ready < 0 && errno != EINTR))
        {
            return ready > 0;
        }
    }
}

} // namespace jaydrift::net
