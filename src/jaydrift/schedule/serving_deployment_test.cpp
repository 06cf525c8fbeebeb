#include "serving_deployment_test.hpp"

#include "sample_work_test.hpp"
#include "simulated_deployment_test.hpp"

#include <gtest/gtest.h>

namespace jaydrift::schedule::testing {

submission filler(std::uint32_t count, time_ms estimate)
{
    auto work = chain_of({count});
    work.steps[0].opportunistic = true;
    work.steps[0].estimate = estimate;
    work.steps[0].image = "filler";
    return work;
}

void serve(simulated_deployment& deployment,
           simulated_interference const& interference)
{
    for (std::size_t i = 0; i < deployment.worker_count(); ++i)
    {
        deployment.worker(i).interference = interference;
    }
    deployment.run_until(time_ms(3000));
    auto work =
        chain_of({static_cast<std::uint32_t>(deployment.worker_count())});
    auto& step = work.steps[0];
    step.long_running = true;
    step.max_per_worker = 1;
    step.latency_target = time_ms(1000);
    step.image = "server";
    deployment.submit(0, serving_id, work);
    deployment.run_until(time_ms(4000));
    for (std::uint32_t i = 0; i < deployment.worker_count(); ++i)
    {
        ASSERT_EQ(deployment.starts({serving_id, 0, 0, i}), 1U);
    }
}

} // namespace jaydrift::schedule::testing
