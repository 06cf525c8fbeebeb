#include "poll_until.hpp"

#include <jaydrift/core/steady_clock.hpp>

#include <algorithm>
#include <cstdint>

namespace jaydrift::net {

namespace {

/// Longest single wait that poll's argument can hold.
constexpr std::int64_t longest_poll_ms = 1'000'000'000;

} // namespace

time_ms socket_now() { return steady_clock().now(); }

bool poll_until(std::span<pollfd> descriptors, time_ms deadline)
{
    for (;;)
    {
        auto const left = (deadline - socket_now()).count();
        if (left < 0)
        {
            return false;
        }
        // A signal ends a poll early with a negative result.
        if (poll(descriptors.data(), descriptors.size(),
                 static_cast<int>(std::min(left + 1, longest_poll_ms)))
            > 0)
        {
            return true;
        }
    }
}

} // namespace jaydrift::net
