#ifndef JAYDRIFT_SCENARIO_TASK_HISTORY_HPP
#define JAYDRIFT_SCENARIO_TASK_HISTORY_HPP

#include <jaydrift/core/time_ms.hpp>

#include <cstdint>
#include <set>
#include <string>

namespace jaydrift::scenario {

/// What the oracle has seen of one task or request.
struct task_history
{
    std::uint32_t starts = 0;
    std::set<std::string> running_on;
    std::string kind;
    std::string payload;
    bool is_request = false;

    /// Attempts of callers, and how many of them were told `not_run`.
    std::uint32_t attempts = 0;
    std::uint32_t not_run = 0;
    time_ms first_start;
};

} // namespace jaydrift::scenario

#endif // JAYDRIFT_SCENARIO_TASK_HISTORY_HPP
