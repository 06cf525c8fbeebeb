#include "checked_deployment_test.hpp"
#include "sample_work_test.hpp"

#include <gtest/gtest.h>

#include <cstddef>
#include <cstdint>

namespace jaydrift::schedule::testing {

// Guards against tasks that run twice: a daemon outside of the roster takes the
// shard over after a wait, while the owner and all daemons of the roster are
// cut off from it and from the store, and go on.
TEST(outside_roster, a_daemon_does_not_take_over_from_an_owner_that_goes_on)
{
    constexpr std::size_t daemons = 4;
    constexpr std::size_t workers = 3;
    constexpr std::size_t outsider = 3;
    constexpr std::uint32_t tasks = 12;
    checked_deployment deployment(daemons, workers, 851, 1);
    for (std::size_t i = 0; i < workers; ++i)
    {
        deployment.worker(i).interference.emplace();
    }
    deployment.kill(outsider);
    deployment.run_until(time_ms(60000));
    auto const owner = *deployment.owner();
    ASSERT_FALSE(
        deployment.daemon(owner).shards[0].ownership.roster.nodes.contains(
            "d3"));
    auto work = chain_of({tasks});
    work.steps[0].estimate = time_ms(100000);
    deployment.submit(owner, id_of(1), work);
    deployment.run_until(deployment.now() + time_ms(1000));
    ASSERT_TRUE(deployment.last_start(deployment.worker(0).entry().id));
    deployment.cut_daemons = {0, 1, 2};
    deployment.cut_workers = {0};
    deployment.start(outsider);
    deployment.run_until(deployment.now() + time_ms(40000));
    EXPECT_EQ(deployment.owner(), owner);
}

} // namespace jaydrift::schedule::testing
