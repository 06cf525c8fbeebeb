#ifndef JAYDRIFT_SCHEDULE_INVARIANTS_TEST_HPP
#define JAYDRIFT_SCHEDULE_INVARIANTS_TEST_HPP

#include <string>

namespace jaydrift::schedule {

struct daemon_state;

namespace testing {

/// Compares, in the shards that the daemon owns, counters and sums with what
/// they stand for, and the places of the tasks with the runs of the workers.
/// Returns a description of the first difference, or an empty text.
std::string broken_invariant(daemon_state const& state);

} // namespace testing

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_INVARIANTS_TEST_HPP
