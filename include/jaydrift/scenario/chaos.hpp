#ifndef JAYDRIFT_SCENARIO_CHAOS_HPP
#define JAYDRIFT_SCENARIO_CHAOS_HPP

#include <jaydrift/scenario/chaos_result.hpp>

#include <cstdint>

namespace jaydrift::scenario {

/// Simulates a deployment for `steps` steps. Each step sends requests, then
/// injects a random fault, ends one or sends a job. Afterwards all faults end,
/// and the function checks that no invariant was violated, that every shard is
/// served again and that every acknowledged job finishes. Equal arguments give
/// equal results.
chaos_result run_chaos(std::uint64_t seed, int steps);

} // namespace jaydrift::scenario

#endif // JAYDRIFT_SCENARIO_CHAOS_HPP
