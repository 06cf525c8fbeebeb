#ifndef JAYDRIFT_DECIDE_PENDING_POLICY_VERSION_HPP
#define JAYDRIFT_DECIDE_PENDING_POLICY_VERSION_HPP

#include <jaydrift/core/time_ms.hpp>

#include <cstdint>

namespace jaydrift::decide {

/// A policy version that is not yet known to be in force in a shard.
struct pending_policy_version
{
    std::uint64_t version = 0;

    /// When every start that was sent before the version is past its deadline.
    time_ms last_start_deadline;

    /// A majority of the voters has stored the version.
    bool stored_by_majority = false;
};

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_PENDING_POLICY_VERSION_HPP
