#include "checked_deployment_test.hpp"
#include "sample_work_test.hpp"

#include <gtest/gtest.h>

#include <cstddef>
#include <cstdint>

namespace jaydrift::schedule::testing {

namespace {

constexpr std::size_t daemons = 3;

bool is_claimed(simulated_deployment& deployment)
{
    for (std::size_t i = 0; i < daemons; ++i)
    {
        auto const& shard = deployment.daemon(i).shards[0];
        if (shard.ownership.role == owner_role::claiming)
        {
            return true;
        }
    }
    return false;
}

} // namespace

// Guards against a task that runs twice: an owner that has asked another daemon
// to take over is cut off together with a worker, and renews the worker's lease
// for longer than the new owner allows for.
TEST(yielding_owner, renews_no_lease)
{
    constexpr std::size_t workers = 3;
    constexpr std::uint32_t tasks = 12;
    constexpr time_ms longest_lease{5000};
    checked_deployment deployment(daemons, workers, 831, 1);
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
    deployment.run_until(time_ms(20000));
    auto work = chain_of({tasks});
    work.steps[0].estimate = time_ms(40000);
    deployment.submit(0, id_of(1), work);
    deployment.run_until(deployment.now() + time_ms(1000));
    ASSERT_TRUE(deployment.last_start(deployment.worker(0).entry().id));
    auto const owner = *deployment.owner();
    auto const& ownership = deployment.daemon(owner).shards[0].ownership;
    deployment.stop(owner);
    auto const limit = deployment.now() + time_ms(2000);
    while (!is_claimed(deployment) && deployment.now() < limit)
    {
        deployment.run_until(deployment.now() + time_ms(1));
    }
    ASSERT_TRUE(is_claimed(deployment));
    ASSERT_EQ(ownership.role, owner_role::yielding);
    deployment.cut_daemons = {owner};
    deployment.cut_workers = {0};
    deployment.run_until(deployment.now() + time_ms(15000));
    for (std::uint32_t i = 0; i < tasks; ++i)
    {
        EXPECT_TRUE(deployment.runs({id_of(1), 0, 0, i})) << i;
    }
}

} // namespace jaydrift::schedule::testing
