#include "checked_deployment_test.hpp"
#include "sample_work_test.hpp"

#include <gtest/gtest.h>

#include <cstddef>
#include <cstdint>

namespace jaydrift::schedule::testing {

// Guards against a task that runs twice: an order with a lease on the clock of
// a worker's earlier process is carried out late by the present one, which
// takes it for the longest lease. Then the worker is cut off and the owner
// dies, and the next owner waits only for leases of the length that owners
// grant.
TEST(earlier_clock, a_new_owner_waits_for_the_longest_lease_of_a_worker)
{
    constexpr std::size_t daemons = 3;
    constexpr std::size_t workers = 3;
    constexpr time_ms longest_lease{10000};
    checked_deployment deployment(daemons, workers, 701);
    deployment.max_lease = longest_lease;
    for (std::size_t i = 0; i < daemons; ++i)
    {
        deployment.kill(i);
        deployment.start(i);
    }
    for (std::size_t i = 0; i < workers; ++i)
    {
        deployment.worker(i).longest_lease = longest_lease;
        deployment.worker(i).interference.emplace();
    }
    deployment.run_until(time_ms(15000));
    // Two tasks fit on a worker, so one more has room elsewhere.
    constexpr std::uint32_t tasks = 5;
    auto work = chain_of({tasks});
    work.steps[0].demand = {4000, 1000, 0};
    work.steps[0].estimate = time_ms(30000);
    deployment.crash(0, time_ms(600));
    deployment.run_until(time_ms(20000));
    deployment.submit(0, id_of(1), work);
    deployment.run_until(time_ms(21000));
    ASSERT_TRUE(deployment.last_start(deployment.worker(0).entry().id));

    worker_call late;
    late.order = hold_order{time_ms(25000), 0, time_ms(0)};
    auto const owner = deployment.owner();
    ASSERT_TRUE(owner);
    // That of the present process: it stands for an order that came before the
    // first one of the owner.
    late.token = deployment.daemon(*owner).shards[0].workers.at("w0").token;
    ASSERT_EQ(deployment.worker(0).execute(late, deployment.now()).status,
              worker_status::ok);
    deployment.cut_workers = {0};
    deployment.kill(*owner);
    deployment.run_until(deployment.now() + time_ms(20000));
    for (std::uint32_t i = 0; i < tasks; ++i)
    {
        EXPECT_GE(deployment.starts({id_of(1), 0, 0, i}), 1U) << i;
    }
}

} // namespace jaydrift::schedule::testing
