#ifndef JAYDRIFT_SCHEDULE_SAMPLE_WORK_TEST_HPP
#define JAYDRIFT_SCHEDULE_SAMPLE_WORK_TEST_HPP

#include <jaydrift/schedule/submission.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace jaydrift::schedule::testing {

/// Returns a number as the ID of a submission.
std::string id_of(int number);

/// Returns a submission of steps with the given numbers of tasks, each step
/// after the one before.
submission chain_of(std::vector<std::uint32_t> const& tasks_per_step);

} // namespace jaydrift::schedule::testing

#endif // JAYDRIFT_SCHEDULE_SAMPLE_WORK_TEST_HPP
