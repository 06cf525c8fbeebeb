#ifndef JAYDRIFT_SCENARIO_CHAOS_HPP
#define JAYDRIFT_SCENARIO_CHAOS_HPP

#include <jaydrift/scenario/chaos_result.hpp>

#include <cstdint>

namespace jaydrift::scenario {

/// Runs a deployment under `steps` random faults and requests that the seed
/// chooses, ends the faults, and checks the invariants, that every shard is
/// served again, and that every acknowledged job finishes.
chaos_result run_chaos(std::uint64_t seed, int steps);

} // namespace jaydrift::scenario

#endif // JAYDRIFT_SCENARIO_CHAOS_HPP
