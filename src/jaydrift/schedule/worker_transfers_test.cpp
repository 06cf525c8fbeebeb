#include "checked_deployment_test.hpp"
#include "random_faults_test.hpp"
#include "sample_work_test.hpp"

#include <jaydrift/core/random.hpp>
#include <jaydrift/schedule/assignments.hpp>
#include <jaydrift/schedule/layout.hpp>
#include <jaydrift/schedule/submission_state.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace jaydrift::schedule::testing {

namespace {

constexpr std::size_t daemons = 3;
constexpr std::size_t shards = 2;

/// Worker with a label that no other one has.
constexpr std::size_t rare_worker = 0;
constexpr char const* rare_label = "rare";

std::uint32_t hashed_shard_of(std::string const& worker)
{
    return layout::first_shard_of(worker, shards);
}

/// Replaces a worker by one that the hash of its ID puts into the shard. It is
/// not listed in the store.
void replace_in(simulated_deployment& deployment, std::size_t number,
                std::uint32_t shard)
{
    deployment.unlist_worker(number);
    auto& entry = deployment.worker(number).entry();
    auto const base = entry.id + "x";
    auto i = 0;
    do
    {
        entry.id = base + std::to_string(i++);
    } while (hashed_shard_of(entry.id) != shard);
    entry.address =
        entry.address.substr(0, entry.address.find(':')) + ":"
        + std::to_string(
            std::stoi(entry.address.substr(entry.address.find(':') + 1)) + 1);
}

/// Ends a worker whose machine comes back under an ID of the other shard.
void return_in_other_shard(simulated_deployment& deployment, std::size_t number,
                           time_ms down)
{
    if (!deployment.worker(number).up)
    {
        return;
    }
    auto const shard = hashed_shard_of(deployment.worker(number).entry().id);
    deployment.crash(number, down);
    replace_in(deployment, number, 1 - shard);
}

submission rare_work(std::vector<std::uint32_t> const& tasks_per_step)
{
    auto work = chain_of(tasks_per_step);
    for (auto& step : work.steps)
    {
        step.required_label = rare_label;
    }
    return work;
}

/// Two shards, of which one has the only worker with the rare label.
class rare_deployment : public checked_deployment
{
public:
    explicit rare_deployment(std::uint64_t seed, std::size_t workers = 12)
        : checked_deployment(daemons, workers, seed, shards)
    {
        worker(rare_worker).entry().labels[0] = rare_label;
        list_worker(rare_worker);
        run_until(time_ms(4000));
    }

    /// Returns the shard that has the worker, as a daemon sees it.
    std::uint32_t shard_of_rare_worker(std::size_t observer = 0)
    {
        return assignments::shard_of(daemon(observer),
                                     worker(rare_worker).entry().id);
    }

    bool completed(std::string const& id)
    {
        return show(0, id).phase == submission_phase::completed;
    }
};

/// Returns an ID that the hash puts into the shard.
std::string id_in_shard(std::uint32_t shard, int start)
{
    auto number = start;
    while (layout::first_shard_of(id_of(number), shards) != shard)
    {
        ++number;
    }
    return id_of(number);
}

/// Submits work to a shard which has the only worker that can run it, and lets
/// that worker come back in the other shard while the work runs.
std::string begin_transfer(rare_deployment& deployment)
{
    auto const shard = deployment.shard_of_rare_worker();
    auto const id = id_in_shard(shard, 1);
    deployment.submit(0, id, rare_work({4, 4}));
    deployment.run_until(deployment.now() + time_ms(300));
    return_in_other_shard(deployment, rare_worker, time_ms(1000));
    return id;
}

} // namespace

// Guards against work that waits for ever in one shard for a worker which is
// idle in another: the only suitable worker has come back under an ID that the
// hash puts there.
TEST(worker_transfers, a_shard_gets_the_only_worker_that_can_run_its_tasks)
{
    rare_deployment deployment(301);
    auto const shard = deployment.shard_of_rare_worker();
    auto const id = begin_transfer(deployment);
    deployment.run_until(deployment.now() + time_ms(15000));
    EXPECT_TRUE(deployment.completed(id));
    for (std::size_t i = 0; i < daemons; ++i)
    {
        EXPECT_EQ(deployment.shard_of_rare_worker(i), shard) << i;
    }
}

// Guards against tasks that run twice, or not at all, when an owner fails
// between two steps of a transfer: from the choice of the worker to the first
// task that the other shard starts on it.
TEST(worker_transfers, hold_when_an_owner_is_killed_at_any_step)
{
    constexpr time_ms last_kill{120};
    constexpr time_ms kill_interval{2};
    constexpr time_ms transfer_limit{15000};
    std::uint64_t seed = 310;
    for (auto delay = time_ms(0); delay <= last_kill; delay += kill_interval)
    {
        for (std::size_t killed = 0; killed < shards; ++killed)
        {
            rare_deployment deployment(++seed, 6);
            auto const giving = 1 - deployment.shard_of_rare_worker();
            auto const id = begin_transfer(deployment);
            auto const limit = deployment.now() + transfer_limit;
            while (deployment.now() < limit
                   && !deployment.daemon(*deployment.owner(giving))
                           .shards[giving]
                           .transfer)
            {
                deployment.run_until(deployment.now() + time_ms(1));
            }
            ASSERT_LT(deployment.now(), limit) << seed;
            deployment.run_until(deployment.now() + delay);
            auto const owner = deployment.owner(killed);
            ASSERT_TRUE(owner);
            deployment.kill(*owner);
            deployment.run_until(deployment.now() + time_ms(700));
            deployment.start(*owner);
            deployment.run_until(deployment.now() + time_ms(20000));
            EXPECT_TRUE(deployment.completed(id))
                << "owner of shard " << killed << " killed " << delay.count()
                << " ms after the transfer began, seed " << seed;
        }
    }
}

// Guards against two shards of which only one ever gets the worker that both
// need, and against a worker that goes to and fro without doing any work.
TEST(worker_transfers, the_only_worker_of_a_kind_serves_two_shards)
{
    rare_deployment deployment(302);
    std::vector<std::string> ids;
    auto next = 1;
    for (auto i = 0; i < 12; ++i)
    {
        // A submission goes to the shard that has the worker, so the worker
        // changes its shard while the first ones run.
        ids.push_back(id_in_shard(static_cast<std::uint32_t>(i % 2), next));
        next = std::stoi(ids.back()) + 1;
        deployment.submit(0, ids.back(), rare_work({6, 6}));
        deployment.run_until(deployment.now() + time_ms(150));
        if (i == 5)
        {
            return_in_other_shard(deployment, rare_worker, time_ms(1000));
            deployment.run_until(deployment.now() + time_ms(1500));
        }
    }
    deployment.run_until(deployment.now() + time_ms(60000));
    for (auto const& id : ids)
    {
        EXPECT_TRUE(deployment.completed(id)) << id;
    }
}

// Guards against long-running tasks that have no run since their shard has lost
// workers, while another shard has room for them.
TEST(worker_transfers, a_shard_that_has_lost_its_room_gets_workers)
{
    constexpr std::size_t worker_count = 24;
    constexpr std::uint32_t tasks_per_submission = 6;
    constexpr auto submissions = 10;
    checked_deployment deployment(daemons, worker_count, 303, shards);
    for (std::size_t i = 0; i < worker_count; ++i)
    {
        deployment.worker(i).interference.emplace();
        replace_in(deployment, i, static_cast<std::uint32_t>(i % shards));
        deployment.list_worker(i);
    }
    deployment.run_until(time_ms(4000));
    auto work = chain_of({tasks_per_submission});
    work.steps[0].long_running = true;
    work.steps[0].demand = {2000, 1000, 0};
    for (auto i = 0; i < submissions; ++i)
    {
        deployment.submit(0, id_of(i), work);
        deployment.run_until(deployment.now() + time_ms(300));
    }
    deployment.run_until(deployment.now() + time_ms(12000));
    // The 60 tasks still have 72 places in all, but one shard has 24 places for
    // its 30 tasks.
    for (std::size_t i = 0; i < 12; i += 2)
    {
        deployment.worker(i).entry().draining = true;
        deployment.list_worker(i);
    }
    deployment.run_until(deployment.now() + time_ms(5000));
    for (std::size_t i = 0; i < 12; i += 2)
    {
        deployment.unlist_worker(i);
        deployment.worker(i).up = false;
    }
    deployment.run_until(deployment.now() + time_ms(4000));
    for (auto i = 0; i < submissions; ++i)
    {
        for (std::uint32_t task = 0; task < tasks_per_submission; ++task)
        {
            EXPECT_TRUE(deployment.runs({id_of(i), 0, 0, task}))
                << id_of(i) << " task " << task;
        }
    }
}

// Guards against a worker that is idle in a shard where nothing needs it and is
// given away all the same, for ever.
TEST(worker_transfers, no_worker_moves_without_need)
{
    rare_deployment deployment(304);
    for (auto i = 0; i < 20; ++i)
    {
        deployment.submit(0, id_of(i), chain_of({3, 2}));
        deployment.run_until(deployment.now() + time_ms(100));
    }
    deployment.run_until(deployment.now() + time_ms(10000));
    for (std::size_t i = 0; i < daemons; ++i)
    {
        EXPECT_TRUE(deployment.daemon(i).assignments.empty());
    }
}

// Guards against a worker that changes its shard while a daemon of an earlier
// release, which goes by the hash alone, may own one.
TEST(worker_transfers, wait_for_daemons_of_an_earlier_release)
{
    rare_deployment deployment(305);
    deployment.store.put({record_kind::member, "old"},
                         member_record{"old", "10.0.9.9:7000", 1.0, "north"});
    deployment.run_until(deployment.now() + time_ms(500));
    begin_transfer(deployment);
    deployment.run_until(deployment.now() + time_ms(8000));
    EXPECT_TRUE(deployment.daemon(0).assignments.empty());
}

// Guards against an assignment that is kept for ever for a worker that is gone,
// and against one that is removed while the worker is there.
TEST(worker_transfers, the_assignment_of_a_worker_that_is_gone_is_removed)
{
    rare_deployment deployment(306);
    begin_transfer(deployment);
    deployment.run_until(deployment.now() + time_ms(15000));
    ASSERT_EQ(deployment.daemon(0).assignments.size(), 1U);
    deployment.run_until(deployment.now() + time_ms(700000));
    ASSERT_EQ(deployment.daemon(0).assignments.size(), 1U);
    deployment.unlist_worker(rare_worker);
    deployment.worker(rare_worker).up = false;
    deployment.run_until(deployment.now() + time_ms(500000));
    EXPECT_EQ(deployment.daemon(0).assignments.size(), 1U);
    deployment.run_until(deployment.now() + time_ms(200000));
    EXPECT_TRUE(deployment.daemon(0).assignments.empty());
}

// Guards against a daemon that follows an assignment which another writer has
// made unreadable, while others do not.
TEST(worker_transfers, an_odd_assignment_counts_as_none)
{
    rare_deployment deployment(307);
    auto const id = begin_transfer(deployment);
    deployment.run_until(deployment.now() + time_ms(15000));
    auto const worker = deployment.worker(rare_worker).entry().id;
    deployment.store.put({record_kind::assignment, worker},
                         unreadable_record{"another writer"});
    deployment.run_until(deployment.now() + time_ms(2000));
    EXPECT_EQ(deployment.shard_of_rare_worker(), hashed_shard_of(worker));
    auto const other = id_in_shard(1 - hashed_shard_of(worker), 100);
    deployment.submit(0, other, rare_work({2}));
    deployment.run_until(deployment.now() + time_ms(20000));
    EXPECT_TRUE(deployment.completed(other));
}

namespace {

/// Submits work for the rare worker under random faults, in which it comes back
/// in the other shard again and again. Returns the first violation, or an empty
/// text.
std::string violation_under_faults(std::uint64_t seed)
{
    simulated_deployment deployment(daemons, 10, seed, shards);
    constexpr std::size_t rare = 7;
    deployment.worker(rare).entry().labels[0] = rare_label;
    deployment.list_worker(rare);
    random_source random(seed);
    deployment.run_until(time_ms(2500));
    constexpr auto rounds = 20;
    for (auto round = 0; round < rounds; ++round)
    {
        auto const count = static_cast<std::uint32_t>(1 + random.below(4));
        deployment.submit(random.below(daemons), id_of(round),
                          random.below(3) == 0 ? chain_of({count, count})
                                               : rare_work({count, count}));
        if (random.below(3) == 0)
        {
            auto const down =
                time_ms(static_cast<std::int64_t>(100 + random.below(2000)));
            return_in_other_shard(deployment, rare, down);
        }
        else
        {
            random_fault(deployment, random);
        }
        deployment.run_until(
            deployment.now()
            + time_ms(static_cast<std::int64_t>(random.below(1500))));
    }
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

// Guards the guarantees that `simulated_deployment` checks while a worker
// changes its shard again and again, and that each accepted submission ends.
RC_GTEST_PROP(worker_transfers, keep_all_guarantees_under_random_faults,
              (std::uint64_t seed))
{
    auto const violation = violation_under_faults(seed);
    if (!violation.empty())
    {
        RC_FAIL(violation);
    }
}

} // namespace jaydrift::schedule::testing
