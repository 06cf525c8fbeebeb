#ifndef JAYDRIFT_SCENARIO_CHAOS_RESULT_HPP
#define JAYDRIFT_SCENARIO_CHAOS_RESULT_HPP

#include <cstdint>
#include <string>
#include <vector>

namespace jaydrift::scenario {

/// What came of a run under random faults.
struct chaos_result
{
    /// Violated invariants and missing recoveries; empty if all held.
    std::vector<std::string> mistakes;

    /// Starts that workers accepted.
    std::uint64_t starts = 0;

    /// What the daemons logged and recorded, oldest first.
    std::vector<std::string> trace;
};

} // namespace jaydrift::scenario

#endif // JAYDRIFT_SCENARIO_CHAOS_RESULT_HPP
