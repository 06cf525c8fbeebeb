#include "sample_work_test.hpp"
#include "simulated_deployment_test.hpp"

#include <jaydrift/schedule/layout.hpp>

#include <set>
#include <string>

#include <gtest/gtest.h>

namespace jaydrift::schedule::testing {

namespace {

constexpr std::size_t daemons = 4;

/// Returns a submission ID of 16 digits.
std::string id_of(std::size_t number)
{
    auto text = std::to_string(number);
    return std::string(16 - text.size(), '0') + text;
}

submission long_running_work(std::uint32_t count)
{
    auto work = chain_of({count});
    work.steps[0].long_running = true;
    work.steps[0].image = "serving";
    work.steps[0].latency_target = time_ms(100);
    return work;
}

/// Returns the owner of each shard that has one.
std::vector<std::size_t> owners_of(simulated_deployment const& deployment,
                                   std::size_t shards)
{
    std::vector<std::size_t> result;
    for (std::size_t i = 0; i < shards; ++i)
    {
        if (auto const owner = deployment.owner(i))
        {
            result.push_back(*owner);
        }
    }
    return result;
}

/// Counts the runs on the workers of a shard, as its owner sees them.
std::size_t runs_of_shard(simulated_deployment const& deployment,
                          std::size_t shard)
{
    std::size_t result = 0;
    auto const& shard_state =
        deployment.daemon(*deployment.owner(shard)).shards[shard];
    for (auto const& [id, worker] : shard_state.workers)
    {
        result += worker.runs.size();
    }
    return result;
}

} // namespace

// Guards against workers with two owners or none, and against one daemon that
// owns several shards while others own none.
TEST(shards, workers_are_divided_among_daemons)
{
    simulated_deployment deployment(daemons, 18, 1, 3);
    deployment.run_until(time_ms(4000));
    auto const owners = owners_of(deployment, 3);
    EXPECT_EQ(std::set(owners.begin(), owners.end()).size(), 3U);
    std::set<std::string> seen;
    for (std::size_t i = 0; i < 3; ++i)
    {
        auto const& shard_state =
            deployment.daemon(*deployment.owner(i)).shards[i];
        for (auto const& [id, worker] : shard_state.workers)
        {
            EXPECT_EQ(layout::first_shard_of(id, 3), i);
            EXPECT_TRUE(seen.insert(id).second) << id;
        }
    }
    EXPECT_EQ(seen.size(), 18U);
}

// Guards against a wrong number of shards: one shard for few workers, more for
// many, and the same number at all daemons.
TEST(shards, their_number_follows_the_workers)
{
    for (auto const& [workers, shards] :
         {std::pair(48U, 1U), std::pair(350U, 1U), std::pair(700U, 6U)})
    {
        simulated_deployment deployment(3, workers, 2);
        deployment.run_until(time_ms(9000));
        EXPECT_EQ(deployment.daemon(0).shards.size(), shards) << workers;
        EXPECT_EQ(deployment.daemon(2).shards.size(), shards) << workers;
        EXPECT_EQ(owners_of(deployment, shards).size(), shards) << workers;
    }
}

// A call may arrive at any daemon. Guards against daemons that do not pass it
// on to the shard that has the submission.
TEST(shards, submissions_are_found_through_any_daemon)
{
    simulated_deployment deployment(daemons, 18, 3, 3);
    deployment.run_until(time_ms(4000));
    constexpr std::size_t count = 24;
    for (std::size_t i = 0; i < count; ++i)
    {
        deployment.submit(i % daemons, id_of(i), chain_of({3, 2}));
    }
    deployment.run_until(time_ms(14000));
    for (std::size_t i = 0; i < count; ++i)
    {
        EXPECT_EQ(deployment.answers[id_of(i)].result, answer::code::ok) << i;
        auto const reply = deployment.show((i + 1) % daemons, id_of(i));
        EXPECT_EQ(reply.phase, submission_phase::completed) << i;
    }
    EXPECT_EQ(deployment.show(0, id_of(count)).result,
              answer::code::no_submission);
    EXPECT_TRUE(deployment.violations.empty()) << deployment.violations.front();
}

// Guards against a shard that is full of long-running tasks while others have
// room. It happened in the kallaloo-ops-grown scenario (quiet-1), when each ID
// could go to one shard only.
TEST(shards, long_running_tasks_are_spread_by_load)
{
    simulated_deployment deployment(daemons, 24, 4, 2);
    deployment.run_until(time_ms(4000));
    for (std::size_t i = 0; i < 20; ++i)
    {
        deployment.submit(i % daemons, id_of(i), long_running_work(4));
        deployment.run_until(deployment.now() + time_ms(200));
    }
    deployment.run_until(deployment.now() + time_ms(400));
    std::vector<double> share;
    for (std::size_t i = 0; i < 2; ++i)
    {
        auto const& shard_state =
            deployment.daemon(*deployment.owner(i)).shards[i];
        share.push_back(static_cast<double>(runs_of_shard(deployment, i))
                        / static_cast<double>(shard_state.workers.size()));
    }
    constexpr double tolerance = 0.6;
    EXPECT_NEAR(share[0], share[1], tolerance);
    EXPECT_TRUE(deployment.violations.empty()) << deployment.violations.front();
}

// Guards against a repeated submission that both of its shards accept.
TEST(shards, a_repeated_submission_stays_in_its_shard)
{
    simulated_deployment deployment(daemons, 24, 5, 2);
    deployment.run_until(time_ms(4000));
    for (std::size_t i = 0; i < 30; ++i)
    {
        deployment.submit(i % daemons, id_of(i), long_running_work(2));
        deployment.run_until(deployment.now() + time_ms(30));
        deployment.submit((i + 1) % daemons, id_of(i), long_running_work(2));
        deployment.run_until(deployment.now() + time_ms(100));
    }
    deployment.run_until(deployment.now() + time_ms(1000));
    std::size_t relocated = 0;
    for (std::size_t i = 0; i < 30; ++i)
    {
        std::size_t places = 0;
        for (std::size_t shard = 0; shard < 2; ++shard)
        {
            auto const& shard_state =
                deployment.daemon(*deployment.owner(shard)).shards[shard];
            places += shard_state.submissions.contains(id_of(i)) ? 1 : 0;
            relocated += shard_state.relocations.contains(id_of(i)) ? 1 : 0;
        }
        EXPECT_EQ(places, 1U) << i;
    }
    EXPECT_GT(relocated, 0U);
    EXPECT_TRUE(deployment.violations.empty()) << deployment.violations.front();
}

// Guards against relocated submissions that are lost, or cannot be cancelled,
// after both shards have got new owners.
TEST(shards, relocated_submissions_outlive_their_owners)
{
    simulated_deployment deployment(daemons, 24, 6, 2);
    deployment.run_until(time_ms(4000));
    for (std::size_t i = 0; i < 20; ++i)
    {
        deployment.submit(i % daemons, id_of(i), long_running_work(2));
        deployment.run_until(deployment.now() + time_ms(200));
    }
    for (std::size_t i = 0; i < daemons; ++i)
    {
        deployment.kill(i);
    }
    for (std::size_t i = 0; i < daemons; ++i)
    {
        deployment.start(i);
    }
    deployment.run_until(deployment.now() + time_ms(4000));
    for (std::size_t i = 0; i < 20; ++i)
    {
        EXPECT_EQ(deployment.show(i % daemons, id_of(i)).phase,
                  submission_phase::running)
            << i;
        deployment.cancel((i + 1) % daemons, id_of(i));
    }
    deployment.run_until(deployment.now() + time_ms(2000));
    EXPECT_EQ(runs_of_shard(deployment, 0) + runs_of_shard(deployment, 1), 0U);
    EXPECT_TRUE(deployment.violations.empty()) << deployment.violations.front();
}

// Guards against a count of pending submissions that leaves out one of which
// nothing has run: its start orders are on their way, or were refused.
TEST(shards, a_submission_is_pending_until_a_worker_confirms_a_run)
{
    simulated_deployment deployment(1, 2, 24);
    deployment.run_until(time_ms(3000));
    for (std::size_t i = 0; i < deployment.worker_count(); ++i)
    {
        deployment.worker(i).reachable = false;
    }
    deployment.submit(0, id_of(1), chain_of({2}));
    deployment.run_until(time_ms(3400));
    auto const& shard = deployment.daemon(0).shards[0];
    EXPECT_GT(shard.submissions.at(id_of(1)).placed_tasks, 0U);
    EXPECT_FALSE(shard.submissions.at(id_of(1)).started);
    for (std::size_t i = 0; i < deployment.worker_count(); ++i)
    {
        deployment.worker(i).reachable = true;
    }
    deployment.run_until(time_ms(8000));
    EXPECT_TRUE(shard.submissions.at(id_of(1)).started);
    EXPECT_TRUE(deployment.violations.empty());
}

// Guards against a count of pending submissions that leaves out shards.
TEST(shards, pending_counts_are_added_up)
{
    simulated_deployment deployment(daemons, 12, 7, 3);
    deployment.run_until(time_ms(4000));
    auto blocked = chain_of({1});
    blocked.first_due = time_ms(100000);
    blocked.repeat_count = 1;
    for (std::size_t i = 0; i < 10; ++i)
    {
        deployment.submit(i % daemons, id_of(i), blocked);
    }
    deployment.run_until(time_ms(6000));
    for (std::size_t i = 0; i < daemons; ++i)
    {
        auto const reply = deployment.show(i, "");
        EXPECT_EQ(reply.result, answer::code::count);
        EXPECT_EQ(reply.pending, 10U);
    }
}

// Guards against shards that stay with the few daemons that survived a failure.
TEST(shards, return_to_idle_daemons_after_a_failure)
{
    simulated_deployment deployment(daemons, 18, 8, 3);
    deployment.run_until(time_ms(4000));
    for (std::size_t i = 1; i < daemons; ++i)
    {
        deployment.kill(i);
    }
    deployment.run_until(time_ms(8000));
    EXPECT_EQ(owners_of(deployment, 3), (std::vector<std::size_t>{0, 0, 0}));
    for (std::size_t i = 1; i < daemons; ++i)
    {
        deployment.start(i);
    }
    deployment.run_until(time_ms(30000));
    auto const owners = owners_of(deployment, 3);
    EXPECT_EQ(std::set(owners.begin(), owners.end()).size(), 3U);
}

// Guards against a submission that waits in a shard without a worker that can
// run it, while its other shard has one.
TEST(shards, a_submission_goes_where_a_worker_has_its_label)
{
    simulated_deployment deployment(daemons, 24, 9, 2);
    deployment.run_until(time_ms(4000));
    for (std::size_t i = 0; i < 8; ++i)
    {
        auto work = chain_of({1});
        work.steps[0].required_label = "rack-" + std::to_string(i % 6);
        deployment.submit(i % daemons, id_of(i), work);
    }
    deployment.run_until(time_ms(9000));
    for (std::size_t i = 0; i < 8; ++i)
    {
        EXPECT_EQ(deployment.show(0, id_of(i)).phase,
                  submission_phase::completed)
            << i;
    }
}

} // namespace jaydrift::schedule::testing
