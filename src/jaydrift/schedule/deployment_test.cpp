#include "random_faults_test.hpp"
#include "sample_work_test.hpp"
#include "simulated_deployment_test.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace jaydrift::schedule::testing {

namespace {

/// Differs from the results of id_of(), which have decimal digits only.
constexpr char const* first_id = "00000000000000a1";

/// Asks daemon 1 for the state of the submission.
void expect_completed(simulated_deployment& deployment, std::string const& id)
{
    auto const reply = deployment.show(1, id);
    EXPECT_EQ(reply.result, answer::code::state) << id;
    EXPECT_EQ(reply.phase, submission_phase::completed) << id;
}

void expect_no_violation(simulated_deployment const& deployment)
{
    EXPECT_TRUE(deployment.violations.empty()) << deployment.violations.front();
}

/// Submits work under random faults. Returns the first violation, or an empty
/// text.
std::string violation_under_faults(std::uint64_t seed, std::uint32_t shards = 1)
{
    simulated_deployment deployment(3, 5UL * shards, seed, shards);
    random_source random(seed);
    deployment.run_until(time_ms(2500));
    auto submitted = 0;
    for (auto round = 0; round < 20; ++round)
    {
        deployment.submit(
            random.below(3), id_of(++submitted),
            chain_of({static_cast<std::uint32_t>(1 + random.below(8)),
                      static_cast<std::uint32_t>(1 + random.below(4))}));
        random_fault(deployment, random);
        deployment.run_until(
            deployment.now()
            + time_ms(static_cast<std::int64_t>(random.below(1500))));
    }
    end_faults(deployment);
    deployment.run_until(deployment.now() + time_ms(25000));
    if (!deployment.violations.empty())
    {
        return deployment.violations.front();
    }
    for (auto i = 1; i <= submitted; ++i)
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

// Guards the whole path of a submission: it is accepted, stored, started step
// by step and completed.
TEST(deployment, completes_a_submission_of_two_steps)
{
    simulated_deployment deployment(3, 4, 1);
    deployment.run_until(time_ms(3000));
    deployment.submit(1, first_id, chain_of({6, 4}));
    deployment.run_until(time_ms(9000));
    EXPECT_EQ(deployment.answers[first_id].result, answer::code::ok);
    expect_completed(deployment, first_id);
    expect_no_violation(deployment);
}

// Guards against a second owner beside one that is alive, and against work that
// is lost with a killed owner.
TEST(deployment, resumes_the_work_of_a_killed_owner)
{
    simulated_deployment deployment(3, 4, 2);
    deployment.run_until(time_ms(3000));
    auto const owner = deployment.owner();
    ASSERT_TRUE(owner);
    deployment.submit((*owner + 1) % 3, first_id, chain_of({12, 6}));
    deployment.run_until(time_ms(3400));
    deployment.kill(*owner);
    deployment.run_until(time_ms(6000));
    auto const next = deployment.owner();
    ASSERT_TRUE(next);
    EXPECT_NE(*next, *owner);
    deployment.start(*owner);
    deployment.run_until(time_ms(16000));
    auto const reply = deployment.show(*next, first_id);
    EXPECT_EQ(reply.phase, submission_phase::completed);
    expect_no_violation(deployment);
}

// Guards against tasks that run twice: the entries of workers expire while the
// store is out, and all daemons are killed before the entries are back. The
// next owner must ask those workers nevertheless. Found in the frsa-drift
// scenario (trouble-3), seed 144128929243.
TEST(deployment, asks_workers_whose_entries_have_lapsed)
{
    simulated_deployment deployment(3, 4, 3);
    deployment.run_until(time_ms(3000));
    deployment.submit(0, first_id, chain_of({16, 8}));
    deployment.run_until(time_ms(3300));
    deployment.store_up = false;
    deployment.run_until(time_ms(5000));
    for (std::size_t i = 0; i < deployment.worker_count(); ++i)
    {
        deployment.unlist_worker(i);
    }
    for (std::size_t i = 0; i < 3; ++i)
    {
        deployment.kill(i);
    }
    deployment.store_up = true;
    for (std::size_t i = 0; i < 3; ++i)
    {
        deployment.start(i);
    }
    deployment.run_until(time_ms(7000));
    for (std::size_t i = 0; i < deployment.worker_count(); ++i)
    {
        deployment.list_worker(i);
    }
    deployment.run_until(time_ms(20000));
    expect_completed(deployment, first_id);
    expect_no_violation(deployment);
}

// Guards against an owner that goes on without the store while a daemon that
// reaches the store could take over.
TEST(deployment, owner_without_store_yields_to_a_peer)
{
    simulated_deployment deployment(3, 4, 4);
    deployment.run_until(time_ms(3000));
    auto const owner = deployment.owner();
    ASSERT_TRUE(owner);
    deployment.daemons_without_store.insert(*owner);
    deployment.submit(*owner, first_id, chain_of({4}));
    deployment.run_until(time_ms(7000));
    auto const next = deployment.owner();
    ASSERT_TRUE(next);
    EXPECT_NE(*next, *owner);
    deployment.run_until(time_ms(9000));
    EXPECT_EQ(deployment.daemon(*owner).shards[0].ownership.role,
              owner_role::follower);
    expect_no_violation(deployment);
}

// Guards against an owner that gives up in a store outage, in which no other
// daemon reaches the store either. Checks that the same daemon is the owner 4 s
// after the outage and that work from before the outage is completed by then;
// not that tasks start during it.
TEST(deployment, owner_goes_on_while_the_store_is_out)
{
    simulated_deployment deployment(3, 4, 5);
    deployment.run_until(time_ms(3000));
    auto const owner = deployment.owner();
    deployment.submit(0, first_id, chain_of({8, 8, 8}));
    deployment.run_until(time_ms(3200));
    deployment.store_up = false;
    deployment.run_until(time_ms(8000));
    deployment.store_up = true;
    deployment.run_until(time_ms(12000));
    EXPECT_EQ(deployment.owner(), owner);
    expect_completed(deployment, first_id);
    expect_no_violation(deployment);
}

// Guards against tasks that are stuck on a silent worker: leases that were sent
// to it postponed the end of its lease for ever. Found in the frsa-drift
// scenario (scale-2), seed 961561493016.
TEST(deployment, tasks_of_a_silent_worker_start_elsewhere)
{
    simulated_deployment deployment(2, 3, 6);
    deployment.run_until(time_ms(3000));
    deployment.submit(0, first_id, chain_of({18}));
    deployment.run_until(time_ms(3100));
    deployment.worker(0).reachable = false;
    deployment.run_until(time_ms(14000));
    expect_completed(deployment, first_id);
    expect_no_violation(deployment);
}

// Guards against missed changes after the store has compacted its history: the
// areas are read again.
TEST(deployment, reads_again_after_the_history_is_gone)
{
    simulated_deployment deployment(2, 2, 7);
    deployment.run_until(time_ms(3000));
    deployment.store.compact();
    deployment.store.put({record_kind::zone_closure, "a"}, zone_closure{"a"});
    deployment.store.compact();
    deployment.run_until(time_ms(5000));
    EXPECT_TRUE(deployment.daemon(0).closed_zones.contains("a"));
    EXPECT_TRUE(deployment.daemon(1).closed_zones.contains("a"));
}

// Guards against a second owner: an owner that was cut off together with a peer
// of its zone took that for a store outage and went on. Found in the frsa-drift
// scenario (deploy/days/zone-cut-from-the-others.toml), seed 1.
TEST(deployment, an_owner_that_is_cut_off_with_a_peer_stops)
{
    simulated_deployment deployment(4, 6, 12);
    deployment.run_until(time_ms(3000));
    auto const owner = deployment.owner();
    ASSERT_TRUE(owner);
    deployment.submit(*owner, first_id, chain_of({30, 30, 30}));
    deployment.run_until(time_ms(3300));
    deployment.cut_daemons = {*owner, (*owner + 1) % 4};
    deployment.cut_workers = {0, 1};
    deployment.run_until(time_ms(11000));
    EXPECT_NE(deployment.daemon(*owner).shards[0].ownership.role,
              owner_role::owner);
    deployment.cut_daemons.clear();
    deployment.cut_workers.clear();
    deployment.run_until(time_ms(22000));
    expect_completed(deployment, first_id);
    expect_no_violation(deployment);
}

// Guards against tasks on workers without the required label, and against more
// tasks of a step on one worker than it allows.
TEST(deployment, places_by_label_and_spreads_a_step)
{
    simulated_deployment deployment(1, 8, 8);
    deployment.run_until(time_ms(3000));
    auto work = chain_of({3});
    work.steps[0].required_label = "rack-1";
    work.steps[0].max_per_worker = 1;
    deployment.submit(0, first_id, work);
    deployment.run_until(time_ms(3150));
    std::size_t placed = 0;
    for (auto const& [id, worker] : deployment.daemon(0).shards[0].workers)
    {
        EXPECT_LE(worker.runs.size(), 1U) << id;
        if (!worker.runs.empty())
        {
            EXPECT_EQ(worker.entry.labels[1], "rack-1");
            ++placed;
        }
    }
    EXPECT_EQ(placed, 3U);
}

// Guards against occurrences that start before they are due or not at all.
TEST(deployment, runs_each_occurrence_when_it_is_due)
{
    simulated_deployment deployment(1, 4, 9);
    deployment.run_until(time_ms(3000));
    auto work = chain_of({2});
    work.first_due = time_ms(5000);
    work.interval = time_ms(1500);
    work.repeat_count = 3;
    deployment.submit(0, first_id, work);
    deployment.run_until(time_ms(4900));
    EXPECT_EQ(deployment.show(0, first_id).phase, submission_phase::queued);
    deployment.run_until(time_ms(7500));
    EXPECT_EQ(deployment.show(0, first_id).phase, submission_phase::running);
    deployment.run_until(time_ms(12000));
    EXPECT_EQ(deployment.show(0, first_id).phase, submission_phase::completed);
    expect_no_violation(deployment);
}

// Guards against gangs that start in part: all members start together under one
// run number, or none does.
TEST(deployment, starts_a_gang_as_a_whole)
{
    simulated_deployment deployment(1, 2, 10);
    deployment.run_until(time_ms(3000));
    auto work = chain_of({20});
    work.steps[0].gang = true;
    deployment.submit(0, first_id, work);
    deployment.run_until(time_ms(4000));
    for (auto const& [id, worker] : deployment.daemon(0).shards[0].workers)
    {
        EXPECT_TRUE(worker.runs.empty()) << id;
    }
    auto fitting_gang = chain_of({12});
    fitting_gang.steps[0].gang = true;
    deployment.submit(0, "00000000000000b2", fitting_gang);
    deployment.run_until(time_ms(4150));
    std::set<std::uint64_t> numbers;
    std::size_t members = 0;
    for (auto const& [id, worker] : deployment.daemon(0).shards[0].workers)
    {
        for (auto const& [run, each] : worker.runs)
        {
            numbers.insert(run.number);
            ++members;
        }
    }
    EXPECT_EQ(members, 12U);
    EXPECT_EQ(numbers.size(), 1U);
}

// Guards against work that goes on after its cancellation was confirmed.
TEST(deployment, cancelled_work_stops_and_does_not_start_again)
{
    simulated_deployment deployment(2, 2, 11);
    deployment.run_until(time_ms(3000));
    deployment.submit(0, first_id, chain_of({40, 4}));
    deployment.run_until(time_ms(3200));
    deployment.cancel(1, first_id);
    deployment.run_until(time_ms(3600));
    EXPECT_EQ(deployment.answers[first_id].result, answer::code::ok);
    deployment.run_until(time_ms(4500));
    EXPECT_EQ(deployment.show(0, first_id).phase, submission_phase::cancelled);
    for (auto const& [id, worker] :
         deployment.daemon(*deployment.owner()).shards[0].workers)
    {
        EXPECT_TRUE(worker.runs.empty()) << id;
    }
}

// Guards against faults that random seeds have found:
// - The heartbeat of a daemon that claimed a shard made others take it for the
//   owner (121, 24995771136025).
// - An acknowledgement reached a later process of a worker (417902725).
// - A former owner took the transaction of its successor for its own and
//   confirmed a submission that was not stored (14346444, 82765208511678501).
// - A suspended owner was confirmed by peers that had been restarted (901,
//   3215139302).
// - An owner did not count members that it had never heard from
//   (3075707684172510246, which this test does not run).
// The test also runs seed 13325796936597428, whose fault is not described here.
TEST(deployment, keeps_all_guarantees_with_seeds_that_failed_before)
{
    for (std::uint64_t const seed :
         {121UL, 901UL, 14346444UL, 417902725UL, 3215139302UL, 24995771136025UL,
          82765208511678501UL, 13325796936597428UL})
    {
        EXPECT_EQ(violation_under_faults(seed), "") << seed;
    }
}

// Guards the guarantees that `simulated_deployment` checks, and that each
// accepted submission ends once the faults are over.
RC_GTEST_PROP(deployment, keeps_all_guarantees_under_random_faults,
              (std::uint64_t seed))
{
    auto const violation = violation_under_faults(seed);
    if (!violation.empty())
    {
        RC_FAIL(violation);
    }
}

// Guards against a large opportunistic submission that delays a small one which
// came later and could be completed soon.
TEST(deployment, a_small_opportunistic_submission_starts_before_a_large_one)
{
    simulated_deployment deployment(1, 1, 17);
    deployment.run_until(time_ms(3000));
    auto const opportunistic = [](std::uint32_t count) {
        auto work = chain_of({count});
        work.steps[0].opportunistic = true;
        return work;
    };
    deployment.submit(0, first_id, opportunistic(12));
    deployment.run_until(time_ms(3100));
    deployment.submit(0, id_of(1), opportunistic(60));
    deployment.run_until(time_ms(3300));
    deployment.submit(0, id_of(2), opportunistic(1));
    deployment.run_until(time_ms(4600));
    auto const& submissions = deployment.daemon(0).shards[0].submissions;
    EXPECT_TRUE(submissions.at(id_of(2)).started);
    EXPECT_GT(submissions.at(id_of(1)).waiting_tasks, 40U);
    expect_no_violation(deployment);
}

// Guards against a daemon with little CPU that comes back first after all have
// been killed and takes over the shard: it is too slow for the load, and no
// other daemon takes over from an owner that is alive.
TEST(deployment, a_daemon_with_little_cpu_leaves_the_shard_to_others)
{
    simulated_deployment deployment(3, 4, 18);
    deployment.run_until(time_ms(4000));
    auto const owner = deployment.owner();
    ASSERT_TRUE(owner);
    auto const small_daemon = (*owner + 1) % 3;
    deployment.kill(small_daemon);
    deployment.shares[small_daemon] = 0.07;
    deployment.start(small_daemon);
    deployment.run_until(time_ms(6000));
    for (std::size_t i = 0; i < 3; ++i)
    {
        deployment.kill(i);
    }
    deployment.start(small_daemon);
    deployment.run_until(time_ms(7000));
    deployment.start((*owner + 2) % 3);
    deployment.run_until(time_ms(9500));
    EXPECT_EQ(deployment.owner(), (*owner + 2) % 3);
}

// Guards against calls that are broken off when several daemons stop: a
// stopping owner asked a daemon that was stopping as well to take over, again
// and again. Found by soak seed 35 with two shards.
TEST(deployment, a_stopping_owner_yields_to_a_daemon_that_stays)
{
    simulated_deployment deployment(4, 4, 14);
    deployment.run_until(time_ms(4000));
    auto const owner = deployment.owner();
    ASSERT_TRUE(owner);
    auto const staying = (*owner + 1) % 4;
    for (std::size_t i = 0; i < 4; ++i)
    {
        if (i != staying)
        {
            deployment.stop(i);
        }
    }
    deployment.run_until(time_ms(5500));
    EXPECT_EQ(deployment.owner(), staying);
}

// Guards against an owner that leaves its role in a store outage: a daemon that
// was removed for good stayed a member for 30 s, so the owner took the outage
// for a network cut and stopped all starts. Checks the role only; there is no
// work. Found in the frsa-drift-grown scenario (trouble-3).
TEST(deployment, an_outage_after_a_daemon_has_gone_does_not_stop_the_owner)
{
    simulated_deployment deployment(4, 4, 15);
    deployment.run_until(time_ms(4000));
    auto const owner = deployment.owner();
    ASSERT_TRUE(owner);
    deployment.kill((*owner + 1) % 4);
    deployment.run_until(time_ms(10000));
    deployment.store_up = false;
    for (auto now = time_ms(10000); now < time_ms(16000); now += time_ms(100))
    {
        deployment.run_until(now);
        EXPECT_EQ(deployment.owner(), owner) << now.count();
    }
}

// Guards against a daemon of another region that takes over from an owner that
// is alive: a configuration of 500 KB for each daemon filled the link between
// the regions, heartbeats came late, and the other region took over just before
// a store outage. Found in the frsa-drift-grown scenario (trouble-3) as well.
TEST(deployment, daemons_of_the_owners_region_succeed_first)
{
    simulated_deployment deployment(4, 4, 16);
    deployment.run_until(time_ms(4000));
    auto const owner = deployment.owner();
    ASSERT_TRUE(owner);
    auto const same_region = (*owner + 2) % 4;
    for (std::size_t i = 0; i < 4; ++i)
    {
        if (i != *owner && i != same_region)
        {
            deployment.kill(i);
            deployment.regions[i] = "south";
            deployment.start(i);
        }
    }
    deployment.run_until(time_ms(6000));
    ASSERT_EQ(deployment.owner(), owner);
    deployment.kill(*owner);
    deployment.run_until(time_ms(8000));
    EXPECT_EQ(deployment.owner(), same_region);
}

// Guards the guarantees that `simulated_deployment` checks if two shards have
// different owners.
RC_GTEST_PROP(deployment, keeps_all_guarantees_with_two_shards,
              (std::uint64_t seed))
{
    auto const violation = violation_under_faults(seed, 2);
    if (!violation.empty())
    {
        RC_FAIL(violation);
    }
}

// Guards against long-running tasks that do not start again in a full
// deployment because urgent work, which arrives all the time, takes each place
// that gets free. Checks that none waits for 3 s. Their runs end as done here,
// not as failed, which makes them wait for a place as well.
TEST(deployment, a_failed_long_running_task_starts_before_new_urgent_work)
{
    simulated_deployment deployment(1, 2, 13);
    deployment.run_until(time_ms(3000));
    auto long_running = chain_of({6});
    long_running.steps[0].long_running = true;
    long_running.steps[0].demand = {2000, 1000, 0};
    deployment.submit(0, first_id, long_running);
    deployment.run_until(time_ms(3500));
    for (auto i = 0; i < 60; ++i)
    {
        // Six tasks of two processors leave four of sixteen for urgent ones.
        deployment.submit(0, id_of(i), chain_of({4}));
        deployment.run_until(deployment.now() + time_ms(100));
        auto const& state = deployment.daemon(0).shards[0];
        auto const& submission = state.submissions.at(first_id);
        for (auto const& task : submission.occurrences[0].steps[0].tasks)
        {
            EXPECT_TRUE(task.place
                        || deployment.now() - task.waiting_since
                               < time_ms(3000));
        }
    }
    expect_no_violation(deployment);
}

} // namespace jaydrift::schedule::testing
