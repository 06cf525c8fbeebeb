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
    // Fails only if the counter is full, and then it is readable already.
    [[maybe_unused]] auto const written = write(fd(), &one, sizeof one);
}

void wake_event::clear() const
{
    std::uint64_t count = 0;
    // Fails only if the counter is zero already.
    [[maybe_unused]] auto const taken = read(fd(), &count, sizeof count);
}

} // namespace jaydrift::net
