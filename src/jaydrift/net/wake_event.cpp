#include "wake_event.hpp"

#include <jaydrift/net/net_error.hpp>

#include <sys/eventfd.h>
#include <unistd.h>

#include <cstdint>

namespace jaydrift::net {

wake_event::wake_event() : fd_(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK))
{
    if (!fd_.valid())
    {
        throw net_error("cannot open an eventfd");
    }
}

void wake_event::set() const
{
    std::uint64_t const one = 1;
    // Fails only if the counter is full; then the descriptor is readable.
    [[maybe_unused]] auto const bytes_written = write(fd(), &one, sizeof one);
}

void wake_event::clear() const
{
    std::uint64_t count = 0;
    // Fails only if the counter is zero, so that there is nothing to clear.
    [[maybe_unused]] auto const bytes_read = read(fd(), &count, sizeof count);
}

} // namespace jaydrift::net
