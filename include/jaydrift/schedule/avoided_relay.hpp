#ifndef JAYDRIFT_SCHEDULE_AVOIDED_RELAY_HPP
#define JAYDRIFT_SCHEDULE_AVOIDED_RELAY_HPP

#include <jaydrift/core/time_ms.hpp>

#include <cstdint>

namespace jaydrift::schedule {

/// A daemon that gave no current view of the operators' area.
struct avoided_relay
{
    /// It is not asked before.
    time_ms until;

    /// Number of times in a row that it gave none.
    std::uint32_t failures = 0;
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_AVOIDED_RELAY_HPP
