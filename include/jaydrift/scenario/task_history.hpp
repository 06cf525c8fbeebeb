#ifndef JAYDRIFT_SCENARIO_TASK_HISTORY_HPP
#define JAYDRIFT_SCENARIO_TASK_HISTORY_HPP

#include <jaydrift/core/time_ms.hpp>

#include <cstdint>
#include <set>
#include <string>

namespace jaydrift::scenario {

/// What the oracle has observed of one task or request.
struct task_history
{
    /// Starts, without those that were withdrawn because the executor refused
    /// the request.
    std::uint32_t starts = 0;

    /// Workers that run it now.
    std::set<std::string> running_on;
    std::string kind;
    std::string payload;
    bool is_request = false;

    /// How often callers sent the request.
    std::uint32_t attempts = 0;

    /// How many of the attempts were answered with `not_run`.
    std::uint32_t not_run = 0;

    /// Time of the first start on the scenario's clock.
    time_ms first_start;
};

} // namespace jaydrift::scenario

#endif // JAYDRIFT_SCENARIO_TASK_HISTORY_HPP
