#ifndef JAYDRIFT_DECIDE_POLICY_STATE_HPP
#define JAYDRIFT_DECIDE_POLICY_STATE_HPP

#include <jaydrift/core/time_ms.hpp>
#include <jaydrift/decide/early_close.hpp>
#include <jaydrift/decide/policy_operation.hpp>
#include <jaydrift/decide/policy_record.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace jaydrift::decide {

/// State of the policy module.
struct policy_state
{
    policy_record record;

    /// Revision of the store's key; 0 before the first read or if it is absent.
    std::uint64_t revision = 0;
    std::vector<early_close> early_closes;
    std::vector<policy_operation> operations;

    /// Correlation number of the read or watch in flight; 0 means none.
    std::uint64_t watch = 0;

    /// Revision of the store after which the watch waits; 0 means read first.
    std::uint64_t watched_revision = 0;
    time_ms watch_again_at;

    /// When the current version was last sent to each daemon.
    std::map<std::string, time_ms> sent_at;
    time_ms next_distribution;
    time_ms next_operation_check;
};

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_POLICY_STATE_HPP
