#include "sample_work_test.hpp"
#include "simulated_deployment_test.hpp"

#include <gtest/gtest.h>

#include <string>

namespace jaydrift::schedule::testing {

namespace {

std::string const first_id = "00000000000000a1";

submission_state const& state_of(simulated_deployment const& deployment,
                                 std::string const& id)
{
    return deployment.daemon(0).shards[0].submissions.at(id);
}

} // namespace

// Guards against tasks that wait without bound since their worker refuses all
// orders as unavailable: its lease is taken to be renewed by each of them.
TEST(starvation, tasks_of_a_worker_that_refuses_orders_start_elsewhere)
{
    simulated_deployment deployment(1, 3, 41);
    deployment.run_until(time_ms(3000));
    deployment.submit(0, first_id, chain_of({18}));
    deployment.run_until(time_ms(3200));
    ASSERT_TRUE(deployment.runs_any(first_id));
    deployment.worker(0).healthy = false;
    deployment.run_until(time_ms(20000));
    EXPECT_EQ(state_of(deployment, first_id).phase,
              submission_phase::completed);
}

} // namespace jaydrift::schedule::testing
