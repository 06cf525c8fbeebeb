#ifndef JAYDRIFT_SCHEDULE_SERVING_DEPLOYMENT_TEST_HPP
#define JAYDRIFT_SCHEDULE_SERVING_DEPLOYMENT_TEST_HPP

#include "simulated_interference_test.hpp"

#include <jaydrift/core/time_ms.hpp>
#include <jaydrift/schedule/submission.hpp>

#include <cstdint>
#include <string>

namespace jaydrift::schedule::testing {

class simulated_deployment;

/// ID of the submission that `serve` sends.
inline std::string const serving_id = "00000000000000a0";

/// Returns opportunistic work of one step.
submission filler(std::uint32_t count, time_ms estimate);

/// Starts a serving task on each worker.
void serve(simulated_deployment& deployment,
           simulated_interference const& interference);

} // namespace jaydrift::schedule::testing

#endif // JAYDRIFT_SCHEDULE_SERVING_DEPLOYMENT_TEST_HPP
