#ifndef JAYDRIFT_SCHEDULE_CALL_RELAY_HPP
#define JAYDRIFT_SCHEDULE_CALL_RELAY_HPP

#include <jaydrift/core/time_ms.hpp>

#include <cstdint>
#include <string>

namespace jaydrift::schedule {

/// Effect: asks another daemon for the operators' area; one `relay_replied`
/// with the same number follows.
struct call_relay
{
    std::uint64_t call = 0;
    std::string address;

    /// Revision of the view that this daemon has; 0 if it has none.
    std::uint64_t after = 0;

    /// Time after which the other daemon answers even without changes.
    time_ms wait;
    time_ms time_limit;
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_CALL_RELAY_HPP
