#include <jaydrift/app/caller_clock.hpp>

#include <jaydrift/core/steady_clock.hpp>

#include <chrono>

namespace jaydrift::app {

namespace {

/// Returns the wall-clock time minus the monotonic time.
time_ms wall_offset()
{
    using namespace std::chrono;
    auto const since_epoch = system_clock::now().time_since_epoch();
    return time_ms(duration_cast<milliseconds>(since_epoch).count())
           - jaydrift::steady_clock().now();
}

} // namespace

void to_monotonic_clock(urgent_request& request)
{
    if (request.issued_at)
    {
        *request.issued_at -= wall_offset();
    }
}

void to_wall_clock(urgent_request& request)
{
    if (request.issued_at)
    {
        *request.issued_at += wall_offset();
    }
}

} // namespace jaydrift::app
