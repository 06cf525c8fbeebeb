#ifndef JAYDRIFT_CORE_SHOW_TIMELINE_HPP
#define JAYDRIFT_CORE_SHOW_TIMELINE_HPP

#include <cstdint>

namespace jaydrift {

/// Asks for the daemon's timeline events after a sequence number.
struct show_timeline
{
    std::uint64_t after_sequence = 0;
};

} // namespace jaydrift

#endif // JAYDRIFT_CORE_SHOW_TIMELINE_HPP
