#include "checked_deployment_test.hpp"
#include "random_faults_test.hpp"
#include "sample_work_test.hpp"

#include <jaydrift/core/random.hpp>
#include <jaydrift/schedule/layout.hpp>
#include <jaydrift/schedule/reduce.hpp>
#include <jaydrift/schedule/submission_state.hpp>
#include <jaydrift/schedule/task_assignments.hpp>

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
constexpr std::size_t workers_per_shard = 4;
constexpr time_ms for_good{100000000};

/// Shard that loses its room, and the one that has some.
constexpr std::uint32_t full_shard = 0;
constexpr std::uint32_t other_shard = 1;

/// Returns an ID that the hash puts into the shard.
std::string id_in(std::uint32_t shard, int start)
{
    auto number = start;
    while (layout::first_shard_of(id_of(number), shards) != shard)
    {
        ++number;
    }
    return id_of(number);
}

submission long_running_work(std::uint32_t tasks, std::int64_t millicores)
{
    auto work = chain_of({tasks});
    work.steps[0].long_running = true;
    work.steps[0].demand = {millicores, 1000, 0};
    return work;
}

/// Two shards of four workers with 8 processors each, of which large tasks use
/// 6. In one shard, small tasks use the other 2. In the other one they are free
/// on each worker, and no worker can be emptied.
class scattered_room : public checked_deployment
{
public:
    explicit scattered_room(std::uint64_t seed)
        : checked_deployment(daemons, workers_per_shard * shards, seed, shards)
    {
        for (std::size_t i = 0; i < worker_count(); ++i)
        {
            worker(i).interference.emplace();
            unlist_worker(i);
            place_in(i, i < workers_per_shard ? full_shard : other_shard);
            list_worker(i);
        }
        run_until(time_ms(4000));
        submit_in(full_shard, large_, 8, 3000);
        submit_in(other_shard, other_large_, 8, 3000);
        submit_in(full_shard, small_, 4, 2000);
    }

    std::string const& small() const { return small_; }

    /// Takes away a worker, and with it the place of a small task.
    void lose_worker(std::size_t number)
    {
        crash(number, for_good);
        unlist_worker(number);
    }

    bool all_small_tasks_run() const
    {
        for (std::uint32_t i = 0; i < workers_per_shard; ++i)
        {
            if (!runs({small_, 0, 0, i}))
            {
                return false;
            }
        }
        return true;
    }

    /// Runs until the shard's owner has sent a transfer of tasks. Returns
    /// whether it has.
    bool run_until_transfer(std::uint32_t shard = full_shard)
    {
        auto const limit = now() + time_ms(20000);
        while (now() < limit)
        {
            auto const owner = this->owner(shard);
            if (owner && daemon(*owner).shards[shard].task_transfer)
            {
                return true;
            }
            run_until(now() + time_ms(1));
        }
        return false;
    }

    /// Returns how many assignments of tasks the daemons know, at most.
    std::size_t assignments() const
    {
        std::size_t result = 0;
        for (std::size_t i = 0; i < daemons; ++i)
        {
            result = std::max(result, daemon(i).task_assignments.size());
        }
        return result;
    }

private:
    /// Renames a worker so that the hash of its ID puts it into the shard.
    void place_in(std::size_t number, std::uint32_t shard)
    {
        auto& entry = worker(number).entry();
        auto const base = entry.id + "x";
        auto i = 0;
        do
        {
            entry.id = base + std::to_string(i++);
        } while (layout::first_shard_of(entry.id, shards) != shard);
    }

    void submit_in(std::uint32_t shard, std::string& id, std::uint32_t tasks,
                   std::int64_t millicores)
    {
        id = id_in(shard, next_id_);
        next_id_ = std::stoi(id) + 1;
        submit(0, id, long_running_work(tasks, millicores));
        run_until(now() + time_ms(1500));
    }

    int next_id_ = 1;
    std::string large_;
    std::string other_large_;
    std::string small_;
};

} // namespace

// Guards against a long-running task that has no run while another shard has
// room for it, scattered over workers that cannot be emptied.
TEST(task_transfers, a_task_runs_in_the_scattered_room_of_another_shard)
{
    scattered_room deployment(401);
    ASSERT_TRUE(deployment.all_small_tasks_run());
    deployment.lose_worker(0);
    deployment.run_until(deployment.now() + time_ms(12000));
    EXPECT_TRUE(deployment.all_small_tasks_run());
    EXPECT_EQ(deployment.assignments(), 1U);
}

// Guards against a task that runs twice, or not at all, when an owner fails
// between two steps of a transfer: from the transaction to the first report of
// the run.
TEST(task_transfers, hold_when_an_owner_is_killed_at_any_step)
{
    constexpr time_ms last_kill{400};
    constexpr time_ms kill_interval{8};
    std::uint64_t seed = 410;
    for (auto delay = time_ms(0); delay <= last_kill; delay += kill_interval)
    {
        for (std::size_t killed = 0; killed < shards; ++killed)
        {
            scattered_room deployment(++seed);
            deployment.lose_worker(0);
            ASSERT_TRUE(deployment.run_until_transfer()) << seed;
            deployment.run_until(deployment.now() + delay);
            auto const owner = deployment.owner(killed);
            ASSERT_TRUE(owner);
            deployment.kill(*owner);
            deployment.run_until(deployment.now() + time_ms(700));
            deployment.start(*owner);
            deployment.run_until(deployment.now() + time_ms(20000));
            EXPECT_TRUE(deployment.all_small_tasks_run())
                << "owner of shard " << killed << " killed " << delay.count()
                << " ms after the transaction, seed " << seed;
        }
    }
}

// Guards against a task that runs on in another shard after its submission was
// cancelled, at any step of its transfer, and against records that are kept.
TEST(task_transfers, a_cancel_at_any_step_stops_the_task)
{
    constexpr time_ms last_cancel{600};
    constexpr time_ms cancel_interval{15};
    std::uint64_t seed = 530;
    for (auto delay = time_ms(0); delay <= last_cancel;
         delay += cancel_interval)
    {
        scattered_room deployment(++seed);
        deployment.lose_worker(0);
        ASSERT_TRUE(deployment.run_until_transfer()) << seed;
        deployment.run_until(deployment.now() + delay);
        deployment.cancel(1, deployment.small());
        deployment.run_until(deployment.now() + time_ms(3000));
        EXPECT_EQ(deployment.cancel_answers[deployment.small()].result,
                  answer::code::ok);
        EXPECT_FALSE(deployment.runs_any(deployment.small()))
            << delay.count() << " ms after the transaction, seed " << seed;
        EXPECT_EQ(deployment.assignments(), 0U);
    }
}

// Guards against a task that starts after its cancel since a datagram about its
// assignment comes late or twice.
TEST(task_transfers, a_late_message_about_an_assignment_starts_nothing)
{
    scattered_room deployment(407);
    deployment.lose_worker(0);
    deployment.run_until(deployment.now() + time_ms(12000));
    ASSERT_EQ(deployment.assignments(), 1U);
    auto const owner = deployment.owner(other_shard);
    ASSERT_TRUE(owner);
    auto const& known =
        deployment.daemon(*owner).task_assignments.begin()->second;
    tasks_assigned const message{
        other_shard, "d9", known.revision, {known.record}};
    deployment.cancel(0, deployment.small());
    deployment.run_until(deployment.now() + time_ms(3000));
    auto state = deployment.daemon(*owner);
    ASSERT_TRUE(state.task_assignments.empty());
    reduce(state, message_arrived{"", message}, deployment.now());
    EXPECT_TRUE(state.task_assignments.empty());
}

// Guards against callers that are told by the shard which only runs a task of
// a submission that the submission is unknown.
TEST(task_transfers, every_daemon_shows_a_submission_with_a_task_elsewhere)
{
    scattered_room deployment(402);
    deployment.lose_worker(0);
    deployment.run_until(deployment.now() + time_ms(12000));
    ASSERT_TRUE(deployment.all_small_tasks_run());
    for (std::size_t i = 0; i < daemons; ++i)
    {
        auto const reply = deployment.show(i, deployment.small());
        EXPECT_EQ(reply.result, answer::code::state);
        EXPECT_EQ(reply.phase, submission_phase::running);
    }
    deployment.submit(1, deployment.small(), long_running_work(4, 2000));
    deployment.run_until(deployment.now() + time_ms(2000));
    EXPECT_EQ(deployment.answers[deployment.small()].result, answer::code::ok);
}

// Guards against a task that stays in a shard which has lost its room, while
// its own shard has room again.
TEST(task_transfers, a_task_comes_back_when_the_other_shard_loses_its_room)
{
    scattered_room deployment(403);
    deployment.lose_worker(0);
    deployment.run_until(deployment.now() + time_ms(12000));
    ASSERT_TRUE(deployment.all_small_tasks_run());
    deployment.worker(0).up = true;
    deployment.list_worker(0);
    deployment.run_until(deployment.now() + time_ms(3000));
    for (std::size_t i = workers_per_shard; i < deployment.worker_count(); ++i)
    {
        deployment.lose_worker(i);
    }
    deployment.run_until(deployment.now() + time_ms(15000));
    EXPECT_TRUE(deployment.all_small_tasks_run());
    // The record is kept for the numbers of the runs.
    EXPECT_EQ(deployment.assignments(), 1U);
    deployment.cancel(0, deployment.small());
    deployment.run_until(deployment.now() + time_ms(3000));
    EXPECT_EQ(deployment.assignments(), 0U);
}

// Guards against a new owner that stops the runs of another shard's tasks, or
// starts them again, since it does not know their submissions yet.
TEST(task_transfers, a_new_owner_resumes_the_task_of_another_shard)
{
    scattered_room deployment(404);
    deployment.lose_worker(0);
    deployment.run_until(deployment.now() + time_ms(12000));
    ASSERT_TRUE(deployment.all_small_tasks_run());
    std::vector<std::size_t> starts;
    for (std::uint32_t i = 0; i < workers_per_shard; ++i)
    {
        starts.push_back(deployment.starts({deployment.small(), 0, 0, i}));
    }
    for (std::size_t i = 0; i < daemons; ++i)
    {
        deployment.kill(i);
    }
    deployment.run_until(deployment.now() + time_ms(300));
    for (std::size_t i = 0; i < daemons; ++i)
    {
        deployment.start(i);
    }
    deployment.run_until(deployment.now() + time_ms(6000));
    EXPECT_TRUE(deployment.all_small_tasks_run());
    for (std::uint32_t i = 0; i < workers_per_shard; ++i)
    {
        EXPECT_EQ(deployment.starts({deployment.small(), 0, 0, i}), starts[i]);
    }
}

// Guards against a task that changes its shard while a daemon of an earlier
// release, which would start it again, may own one.
TEST(task_transfers, wait_for_daemons_of_an_earlier_release)
{
    scattered_room deployment(405);
    member_record old{"old", "10.0.9.9:7000", 1.0, "north"};
    old.assigns_workers = true;
    deployment.store.put({record_kind::member, "old"}, old);
    deployment.run_until(deployment.now() + time_ms(500));
    deployment.lose_worker(0);
    deployment.run_until(deployment.now() + time_ms(8000));
    EXPECT_EQ(deployment.assignments(), 0U);
}

// Guards against a task that runs twice, or never again, after another writer
// has made its assignment unreadable.
TEST(task_transfers, a_task_whose_assignment_is_odd_comes_back)
{
    scattered_room deployment(406);
    deployment.lose_worker(0);
    deployment.run_until(deployment.now() + time_ms(12000));
    ASSERT_EQ(deployment.assignments(), 1U);
    auto const name = deployment.daemon(0).task_assignments.begin()->first;
    deployment.store.put({record_kind::task_assignment, name},
                         unreadable_record{"another writer"});
    deployment.worker(0).up = true;
    deployment.list_worker(0);
    deployment.run_until(deployment.now() + time_ms(12000));
    EXPECT_TRUE(deployment.all_small_tasks_run());
}

// Guards against a task that runs twice: the record of its assignment is lost
// and the store goes out before the owner of the shard that has the task can
// see that, so it renews the lease of the run for longer than its own shard
// waits.
TEST(task_transfers, a_lost_assignment_does_not_let_a_task_run_twice)
{
    scattered_room deployment(409);
    deployment.lose_worker(0);
    deployment.run_until(deployment.now() + time_ms(12000));
    ASSERT_EQ(deployment.assignments(), 1U);
    auto const name = deployment.daemon(0).task_assignments.begin()->first;
    auto const owner = *deployment.owner(other_shard);
    ASSERT_NE(owner, *deployment.owner(full_shard));
    deployment.worker(0).up = true;
    deployment.list_worker(0);
    deployment.run_until(deployment.now() + time_ms(1000));
    deployment.daemons_without_store = {owner};
    deployment.store.remove({record_kind::task_assignment, name});
    deployment.run_until(deployment.now() + time_ms(20));
    deployment.store_up = false;
    deployment.run_until(deployment.now() + time_ms(12000));
    deployment.daemons_without_store.clear();
    deployment.store_up = true;
    deployment.run_until(deployment.now() + time_ms(20000));
    EXPECT_TRUE(deployment.all_small_tasks_run());
}

// Guards against an assignment of another writer that names a task which cannot
// be assigned: one of a submission that has no occurrence yet.
TEST(task_transfers, an_odd_assignment_of_a_repeated_submission_is_ignored)
{
    scattered_room deployment(408);
    auto work = long_running_work(2, 1000);
    work.repeat_count = 2;
    work.first_due = time_ms(1000000000);
    work.interval = time_ms(1000);
    auto const id = id_in(full_shard, 500);
    deployment.submit(0, id, work);
    deployment.run_until(deployment.now() + time_ms(500));
    ASSERT_EQ(deployment.answers[id].result, answer::code::ok);
    // It may have been left to its second shard.
    auto const owner = deployment.owner(full_shard);
    ASSERT_TRUE(owner);
    auto const home =
        deployment.daemon(*owner).shards[full_shard].submissions.contains(id)
            ? full_shard
            : other_shard;
    task_id const task{id, 0, 0, 1};
    deployment.store.put(
        {record_kind::task_assignment, task_assignments::name_of(task)},
        task_assignment_record{task, home, 1 - home});
    deployment.run_until(deployment.now() + time_ms(3000));
    EXPECT_EQ(deployment.show(1, id).phase, submission_phase::queued);
    EXPECT_TRUE(deployment.all_small_tasks_run());
}

namespace {

/// Loses and returns workers, cancels and submits work under random faults, so
/// that tasks change their shard again and again. Returns the first violation,
/// or an empty text.
std::string violation_under_faults(std::uint64_t seed)
{
    simulated_deployment deployment(daemons, 8, seed, shards);
    random_source random(seed);
    deployment.run_until(time_ms(2500));
    std::vector<std::string> ids;
    constexpr auto rounds = 24;
    for (auto round = 0; round < rounds; ++round)
    {
        if (round < 8 || random.below(4) == 0)
        {
            ids.push_back(id_of(round));
            auto const tasks = static_cast<std::uint32_t>(2 + random.below(5));
            auto const millicores =
                static_cast<std::int64_t>(1500 + 500 * random.below(4));
            deployment.submit(random.below(daemons), ids.back(),
                              long_running_work(tasks, millicores));
        }
        else if (random.below(4) == 0)
        {
            deployment.cancel(random.below(daemons),
                              ids[random.below(ids.size())]);
        }
        if (round >= 8)
        {
            random_fault(deployment, random);
        }
        if (random.below(2) == 0)
        {
            deployment.crash(random.below(8), time_ms(static_cast<std::int64_t>(
                                                  1000 + random.below(9000))));
        }
        deployment.run_until(
            deployment.now()
            + time_ms(static_cast<std::int64_t>(random.below(2500))));
    }
    end_faults(deployment);
    deployment.run_until(deployment.now() + time_ms(20000));
    for (auto const& id : ids)
    {
        deployment.cancel(0, id);
    }
    deployment.run_until(deployment.now() + time_ms(10000));
    if (!deployment.violations.empty())
    {
        return deployment.violations.front();
    }
    for (auto const& id : ids)
    {
        if (deployment.runs_any(id))
        {
            return id + " was cancelled and runs";
        }
    }
    return deployment.daemon(0).task_assignments.empty()
               ? std::string()
               : "records of ended submissions are kept";
}

} // namespace

// Guards the guarantees that `simulated_deployment` checks while tasks change
// their shard under random faults, and that nothing cancelled runs on.
RC_GTEST_PROP(task_transfers, keep_all_guarantees_under_random_faults,
              (std::uint64_t seed))
{
    auto const violation = violation_under_faults(seed);
    if (!violation.empty())
    {
        RC_FAIL(violation);
    }
}

} // namespace jaydrift::schedule::testing
