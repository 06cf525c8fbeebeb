#ifndef JAYDRIFT_SCENARIO_CHAOS_RESULT_HPP
#define JAYDRIFT_SCENARIO_CHAOS_RESULT_HPP

#include <cstdint>
#include <string>
#include <vector>

namespace jaydrift::scenario {

/// Result of a simulation with random faults.
struct chaos_result
{
    /// Violated invariants, shards that are not served at the end and jobs
    /// that did not finish; empty if every check passed.
    std::vector<std::string> failures;

    /// Number of starts that workers accepted.
    std::uint64_t starts = 0;

    /// Log lines and timeline events of the daemons, and the changes of the
    /// state of daemons and workers, oldest first.
    std::vector<std::string> trace;
};

} // namespace jaydrift::scenario

#endif // JAYDRIFT_SCENARIO_CHAOS_RESULT_HPP
