#include "checked_deployment_test.hpp"
#include "sample_work_test.hpp"

#include <jaydrift/schedule/layout.hpp>

#include <gtest/gtest.h>

#include <cstdint>
#include <string>

namespace jaydrift::schedule::testing {

namespace {

constexpr std::uint32_t shards = 2;

/// Longer than a shard remembers that it has left a submission to another one.
constexpr time_ms kept{610000};

std::string id_in_first_shard(int start)
{
    auto number = start;
    while (layout::first_shard_of(id_of(number), shards) != 0)
    {
        ++number;
    }
    return id_of(number);
}

submission long_running_work(std::uint32_t tasks)
{
    auto work = chain_of({tasks});
    work.steps[0].long_running = true;
    return work;
}

} // namespace

// Guards against tasks that run twice: a caller repeats a submission that runs
// in its second shard, after the first one has forgotten that it left it there.
TEST(relocated_submission, is_not_accepted_again_while_it_runs)
{
    checked_deployment deployment(3, 4, 841, shards);
    for (std::size_t i = 0; i < deployment.worker_count(); ++i)
    {
        deployment.worker(i).interference.emplace();
    }
    deployment.run_until(time_ms(4000));
    auto const load = id_in_first_shard(1);
    auto const moved = id_in_first_shard(std::stoi(load) + 1);
    deployment.submit(0, load, long_running_work(4));
    deployment.run_until(deployment.now() + time_ms(2000));
    deployment.submit(0, moved, long_running_work(1));
    deployment.run_until(deployment.now() + time_ms(2000));
    ASSERT_TRUE(deployment.runs({moved, 0, 0, 0}));
    auto const owner = *deployment.owner(0);
    ASSERT_EQ(deployment.daemon(owner).shards[0].relocations.size(), 1U);
    deployment.cancel(0, load);
    deployment.run_until(deployment.now() + kept);
    deployment.submit(0, moved, long_running_work(1));
    deployment.run_until(deployment.now() + time_ms(3000));
    EXPECT_TRUE(deployment.runs({moved, 0, 0, 0}));
    EXPECT_EQ(deployment.starts({moved, 0, 0, 0}), 1U);
}

} // namespace jaydrift::schedule::testing
