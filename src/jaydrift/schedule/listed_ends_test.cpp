#include "checked_deployment_test.hpp"
#include "random_faults_test.hpp"
#include "sample_work_test.hpp"

#include <jaydrift/core/random.hpp>
#include <jaydrift/schedule/daemon_state.hpp>
#include <jaydrift/schedule/submission_state.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace jaydrift::schedule::testing {

namespace {

constexpr std::size_t daemons = 3;
constexpr std::size_t workers = 3;
constexpr int submissions = 6;
constexpr std::uint32_t tasks = 12;

/// Three workers that list only a few of their ends in a reply, and work that
/// runs while the store is silent, so that no end can be acknowledged.
class cut_off_lists : public checked_deployment
{
public:
    explicit cut_off_lists(std::uint64_t seed)
        : checked_deployment(daemons, workers, seed)
    {
        for (std::size_t i = 0; i < workers; ++i)
        {
            worker(i).max_listed_ends = 5;
        }
        run_until(time_ms(3000));
        auto work = chain_of({tasks});
        work.steps[0].demand = {500, 1000, 0};
        for (auto i = 0; i < submissions; ++i)
        {
            submit(0, id_of(i), work);
        }
        run_until(now() + time_ms(120));
        store_silent = true;
    }

    void end_outage() { store_silent = false; }

    /// Returns the most starts of a task.
    std::size_t most_starts() const
    {
        std::size_t result = 0;
        for (auto i = 0; i < submissions; ++i)
        {
            for (std::uint32_t task = 0; task < tasks; ++task)
            {
                result = std::max(result, starts({id_of(i), 0, 0, task}));
            }
        }
        return result;
    }

    bool all_completed()
    {
        for (auto i = 0; i < submissions; ++i)
        {
            if (show(0, id_of(i)).phase != submission_phase::completed)
            {
                return false;
            }
        }
        return true;
    }
};

} // namespace

// Guards against tasks that start again though they have ended: their ends are
// not among those that the worker lists while none can be acknowledged.
TEST(listed_ends, a_task_whose_end_is_not_listed_yet_does_not_start_again)
{
    cut_off_lists deployment(601);
    deployment.run_until(deployment.now() + time_ms(4500));
    deployment.end_outage();
    deployment.run_until(deployment.now() + time_ms(8000));
    EXPECT_EQ(deployment.most_starts(), 1U);
    EXPECT_TRUE(deployment.all_completed());
}

// Guards against tasks that a new owner starts again before the workers have
// listed their ends.
TEST(listed_ends, a_new_owner_waits_for_the_ends_that_are_not_listed_yet)
{
    for (std::uint64_t seed = 610; seed < 630; ++seed)
    {
        cut_off_lists deployment(seed);
        deployment.run_until(deployment.now() + time_ms(4000));
        auto const owner = deployment.owner();
        ASSERT_TRUE(owner);
        deployment.kill(*owner);
        deployment.end_outage();
        deployment.run_until(deployment.now() + time_ms(700));
        deployment.start(*owner);
        deployment.run_until(deployment.now() + time_ms(15000));
        EXPECT_EQ(deployment.most_starts(), 1U) << seed;
        EXPECT_TRUE(deployment.all_completed()) << seed;
    }
}

// Guards against tasks that never run again: their runs have vanished with a
// worker whose list of ends was cut off.
TEST(listed_ends, runs_that_vanish_with_their_worker_start_again)
{
    cut_off_lists deployment(602);
    deployment.run_until(deployment.now() + time_ms(300));
    deployment.crash(0, time_ms(600));
    deployment.worker(1).failing_percent = 30;
    deployment.run_until(deployment.now() + time_ms(4000));
    deployment.worker(1).failing_percent = 0;
    deployment.end_outage();
    deployment.run_until(deployment.now() + time_ms(20000));
    for (auto i = 0; i < submissions; ++i)
    {
        EXPECT_TRUE(ended(deployment.show(0, id_of(i)).phase)) << i;
    }
}

// Guards against tasks that wait for ever for the ends of a worker that is gone
// for good.
TEST(listed_ends, a_worker_that_is_gone_does_not_hold_up_a_new_owner)
{
    cut_off_lists deployment(603);
    deployment.run_until(deployment.now() + time_ms(4000));
    auto const owner = deployment.owner();
    ASSERT_TRUE(owner);
    deployment.kill(*owner);
    deployment.end_outage();
    deployment.run_until(deployment.now() + time_ms(800));
    deployment.crash(2, time_ms(1000000));
    deployment.unlist_worker(2);
    deployment.start(*owner);
    deployment.run_until(deployment.now() + time_ms(25000));
    EXPECT_TRUE(deployment.all_completed());
}

// Guards against tasks that start again since their worker, when it answers
// again, lists only the first ends of the time in which it was out of reach.
TEST(listed_ends, a_worker_that_answers_again_may_have_more_ends)
{
    for (std::uint64_t seed = 640; seed < 650; ++seed)
    {
        cut_off_lists deployment(seed);
        deployment.worker(0).reachable = false;
        deployment.run_until(deployment.now() + time_ms(2000));
        deployment.worker(0).reachable = true;
        deployment.run_until(deployment.now() + time_ms(2500));
        deployment.end_outage();
        deployment.run_until(deployment.now() + time_ms(8000));
        EXPECT_EQ(deployment.most_starts(), 1U) << seed;
        EXPECT_TRUE(deployment.all_completed()) << seed;
    }
}

// Guards against tasks that an owner starts again after a suspension longer
// than the leases, since the first reply of a worker lists only some ends.
TEST(listed_ends, a_suspended_owner_waits_for_the_ends_that_are_not_listed_yet)
{
    for (std::uint64_t seed = 650; seed < 660; ++seed)
    {
        cut_off_lists deployment(seed);
        auto const owner = deployment.owner();
        ASSERT_TRUE(owner);
        deployment.kill((*owner + 1) % daemons);
        deployment.run_until(deployment.now() + time_ms(4000));
        EXPECT_EQ(deployment.daemon(*owner).shards[0].ownership.role,
                  owner_role::suspended)
            << seed;
        deployment.run_until(deployment.now() + time_ms(6000));
        deployment.end_outage();
        deployment.run_until(deployment.now() + time_ms(10000));
        EXPECT_EQ(deployment.most_starts(), 1U) << seed;
        EXPECT_TRUE(deployment.all_completed()) << seed;
    }
}

namespace {

/// Runs work under random faults on workers that list few ends. Returns the
/// first violation, or an empty text.
std::string violation_under_faults(std::uint64_t seed)
{
    simulated_deployment deployment(daemons, 6, seed);
    random_source random(seed);
    for (std::size_t i = 0; i < deployment.worker_count(); ++i)
    {
        deployment.worker(i).max_listed_ends = 1 + random.below(6);
    }
    deployment.run_until(time_ms(2500));
    constexpr auto rounds = 16;
    for (auto round = 0; round < rounds; ++round)
    {
        auto const count = static_cast<std::uint32_t>(4 + random.below(12));
        deployment.submit(random.below(daemons), id_of(round),
                          chain_of({count, 2}));
        if (random.below(3) == 0)
        {
            deployment.store_silent = !deployment.store_silent;
        }
        else
        {
            random_fault(deployment, random);
        }
        deployment.run_until(
            deployment.now()
            + time_ms(static_cast<std::int64_t>(random.below(1800))));
    }
    deployment.store_silent = false;
    end_faults(deployment);
    deployment.run_until(deployment.now() + time_ms(40000));
    if (!deployment.violations.empty())
    {
        return deployment.violations.front();
    }
    for (auto i = 0; i < rounds; ++i)
    {
        if (deployment.answers[id_of(i)].result != answer::code::ok)
        {
            continue;
        }
        auto const reply = deployment.show(1, id_of(i));
        if (reply.result != answer::code::state || !ended(reply.phase))
        {
            return id_of(i) + " was accepted and has not ended";
        }
    }
    return {};
}

} // namespace

// Guards the guarantees that `simulated_deployment` checks, and that each
// accepted submission ends, on workers whose lists of ends are cut off.
RC_GTEST_PROP(listed_ends, keep_all_guarantees_under_random_faults,
              (std::uint64_t seed))
{
    auto const violation = violation_under_faults(seed);
    if (!violation.empty())
    {
        RC_FAIL(violation);
    }
}

} // namespace jaydrift::schedule::testing
