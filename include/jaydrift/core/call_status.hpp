#ifndef JAYDRIFT_CORE_CALL_STATUS_HPP
#define JAYDRIFT_CORE_CALL_STATUS_HPP

#include <cstdint>

namespace jaydrift {

/// Result of a call about a job or a policy.
enum class call_status : std::uint8_t
{
    /// Done and durable; a policy is in force everywhere.
    ok,

    /// Refused; nothing changed.
    refused,

    /// Refused because a newer version exists.
    conflict,

    /// Durable or in progress, but not in force everywhere yet.
    pending,
    not_found
};

} // namespace jaydrift

#endif // JAYDRIFT_CORE_CALL_STATUS_HPP
