#include "sample_work_test.hpp"
#include "serving_deployment_test.hpp"
#include "simulated_deployment_test.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdint>
#include <string>

namespace jaydrift::schedule::testing {

namespace {

constexpr time_ms observation_interval{50};

std::string const first_id = "00000000000000b1";
std::string const second_id = "00000000000000b2";

submission filler_with_checkpoints(std::uint32_t count, time_ms estimate)
{
    auto work = filler(count, estimate);
    work.steps[0].checkpoints = true;
    return work;
}

/// Sets the tail latency without neighbours on all workers.
void set_tails(simulated_deployment& deployment, double relative_tail)
{
    for (std::size_t i = 0; i < deployment.worker_count(); ++i)
    {
        deployment.worker(i).interference->idle_tail = relative_tail;
    }
}

shard_state const& shard_of(simulated_deployment const& deployment)
{
    return deployment.daemon(deployment.owner().value_or(0)).shards[0];
}

submission_state const& state_of(simulated_deployment const& deployment,
                                 std::string const& id)
{
    return shard_of(deployment).submissions.at(id);
}

bool completed(simulated_deployment const& deployment, std::string const& id)
{
    return state_of(deployment, id).phase == submission_phase::completed;
}

/// Returns the first run of the step of a submission; null if there is none.
run_state const* run_of(simulated_deployment const& deployment,
                        std::string const& id)
{
    for (auto const& [name, worker] : shard_of(deployment).workers)
    {
        auto const run = worker.runs.lower_bound({{id, 0, 0, 0}, 0});
        if (run != worker.runs.end() && run->first.task.submission == id)
        {
            return &run->second;
        }
    }
    return nullptr;
}

bool in_quarantine(simulated_deployment const& deployment)
{
    auto const& workers = shard_of(deployment).workers;
    return std::any_of(workers.begin(), workers.end(), [](auto const& each) {
        return each.second.last_quarantine > time_ms(0);
    });
}

/// Waits until another daemon owns the shard.
void replace_owner(simulated_deployment& deployment)
{
    auto const before = *deployment.owner();
    deployment.kill(before);
    auto const limit = deployment.now() + time_ms(20000);
    while (!deployment.owner() && deployment.now() < limit)
    {
        deployment.run_until(deployment.now() + observation_interval);
    }
    ASSERT_TRUE(deployment.owner());
}

} // namespace

// Guards against submissions of which nothing runs since runs at the lowest
// pace hold three quarters of the memory and the rest stays free.
TEST(review, idle_submissions_run_although_a_quarter_of_the_memory_is_left)
{
    constexpr auto submissions = 60;
    constexpr time_ms settling_time{10000};
    simulated_deployment deployment(1, 1, 41);
    serve(deployment, {0.82, 0.1});
    for (auto i = 0; i < submissions; ++i)
    {
        deployment.submit(0, id_of(i), filler(1, time_ms(20000)));
    }
    deployment.run_until(deployment.now() + settling_time);
    auto without_run = 0;
    for (auto i = 0; i < submissions; ++i)
    {
        without_run +=
            deployment.runs_any(id_of(i)) || completed(deployment, id_of(i))
                ? 0
                : 1;
    }
    auto const& worker = shard_of(deployment).workers.at("w0");
    EXPECT_EQ(without_run, 0)
        << worker.entry.capacity.memory_mb - worker.used.memory_mb
        << " MB are free, each needs 1000";
}

// Guards against a task that never runs because it needs more than three
// quarters of the memory of a worker.
TEST(review, a_task_that_needs_most_of_the_memory_runs)
{
    simulated_deployment deployment(1, 4, 54);
    serve(deployment, {0.89, 0.5});
    auto work = filler(1, time_ms(3000));
    work.steps[0].demand.memory_mb = 50000;
    deployment.submit(0, first_id, work);
    deployment.run_until(deployment.now() + time_ms(60000));
    EXPECT_EQ(deployment.starts({first_id, 0, 0, 0}), 1U);
}

// Guards against runs that count as hanging, and a worker that gets no tasks,
// because their pause counts as time without progress.
TEST(review, runs_that_resume_after_a_pause_do_not_count_as_hanging)
{
    simulated_deployment deployment(1, 1, 42);
    serve(deployment, {0.5, 0.5});
    deployment.submit(0, first_id, filler(1, time_ms(20000)));
    deployment.submit(0, second_id, filler(1, time_ms(20000)));
    deployment.run_until(deployment.now() + time_ms(500));
    ASSERT_TRUE(deployment.runs_any(first_id));
    ASSERT_TRUE(deployment.runs_any(second_id));
    set_tails(deployment, 1.3);
    deployment.run_until(deployment.now() + time_ms(5000));
    set_tails(deployment, 0.3);
    deployment.run_until(deployment.now() + time_ms(5000));
    EXPECT_EQ(deployment.starts({first_id, 0, 0, 0}), 1U);
    EXPECT_EQ(deployment.starts({second_id, 0, 0, 0}), 1U);
    EXPECT_FALSE(in_quarantine(deployment));
}

// Guards against a new owner that takes runs at the lowest pace for runs at
// full pace that hang.
TEST(review, a_new_owner_does_not_stop_runs_at_the_lowest_pace)
{
    simulated_deployment deployment(2, 1, 43);
    serve(deployment, {0.89, 0.5});
    deployment.submit(0, first_id, filler(1, time_ms(20000)));
    deployment.submit(0, second_id, filler(1, time_ms(20000)));
    deployment.run_until(deployment.now() + time_ms(4000));
    ASSERT_TRUE(deployment.runs_any(first_id));
    ASSERT_EQ(run_of(deployment, first_id)->pace_percent, 5U);
    ASSERT_EQ(run_of(deployment, second_id)->pace_percent, 5U);
    replace_owner(deployment);
    deployment.run_until(deployment.now() + time_ms(5000));
    EXPECT_EQ(deployment.starts({first_id, 0, 0, 0}), 1U);
    EXPECT_EQ(deployment.starts({second_id, 0, 0, 0}), 1U);
    EXPECT_FALSE(in_quarantine(deployment));
}

// Guards against a run that the earlier owner slowed down, which the new one
// takes for a run at full pace and never speeds up.
TEST(review, a_new_owner_speeds_up_a_run_that_the_earlier_one_slowed_down)
{
    simulated_deployment deployment(2, 1, 44);
    serve(deployment, {0.5, 0.5});
    deployment.submit(0, first_id, filler(1, time_ms(8000)));
    deployment.run_until(deployment.now() + time_ms(300));
    ASSERT_TRUE(deployment.runs_any(first_id));
    set_tails(deployment, 0.92);
    deployment.run_until(deployment.now() + time_ms(2000));
    auto const pace = run_of(deployment, first_id)->pace_percent;
    ASSERT_GT(pace, 0U);
    ASSERT_LT(pace, 30U);
    replace_owner(deployment);
    set_tails(deployment, 0.3);
    deployment.run_until(deployment.now() + time_ms(12000));
    EXPECT_TRUE(completed(deployment, first_id));
}

// Guards against the last run of a submission that stays paused without bound
// while another worker could take its task.
TEST(review, a_lone_paused_run_goes_on_on_an_idle_worker)
{
    simulated_deployment deployment(1, 2, 45);
    serve(deployment, {0.5, 0.5});
    deployment.submit(0, first_id, filler_with_checkpoints(1, time_ms(3000)));
    deployment.run_until(deployment.now() + time_ms(300));
    ASSERT_TRUE(deployment.runs_any(first_id));
    auto const& task =
        state_of(deployment, first_id).occurrences[0].steps[0].tasks[0];
    auto const disturbed = task.place->worker == "w0" ? 0U : 1U;
    deployment.worker(disturbed).interference->idle_tail = 1.3;
    deployment.worker(1 - disturbed).interference->idle_tail = 0.3;
    deployment.run_until(deployment.now() + time_ms(60000));
    EXPECT_TRUE(completed(deployment, first_id));
}

// Guards against urgent tasks that wait without bound for the memory of paused
// runs.
TEST(review, paused_runs_do_not_keep_the_memory_from_urgent_tasks)
{
    constexpr auto fillers = 4;
    simulated_deployment deployment(1, 1, 46);
    serve(deployment, {0.3, 0.5});
    for (auto i = 0; i < fillers; ++i)
    {
        auto work = filler_with_checkpoints(1, time_ms(60000));
        work.steps[0].demand.memory_mb = 15000;
        deployment.submit(0, id_of(i), work);
    }
    deployment.run_until(deployment.now() + time_ms(500));
    for (auto i = 0; i < fillers; ++i)
    {
        ASSERT_TRUE(deployment.runs_any(id_of(i)));
    }
    set_tails(deployment, 1.3);
    deployment.run_until(deployment.now() + time_ms(1500));
    auto urgent = chain_of({1});
    urgent.steps[0].demand.memory_mb = 8000;
    deployment.submit(0, first_id, urgent);
    deployment.run_until(deployment.now() + time_ms(60000));
    EXPECT_EQ(deployment.starts({first_id, 0, 0, 0}), 1U);
}

// Guards against a submission of which all paused runs are stopped at once, so
// that nothing of it runs.
TEST(review, paused_runs_of_a_submission_are_not_all_stopped_to_move)
{
    simulated_deployment deployment(1, 2, 47);
    serve(deployment, {0.5, 0.5});
    deployment.submit(0, first_id, filler_with_checkpoints(2, time_ms(20000)));
    deployment.run_until(deployment.now() + time_ms(500));
    ASSERT_TRUE(deployment.runs_any(first_id));
    set_tails(deployment, 1.3);
    time_ms without_run;
    auto const end = deployment.now() + time_ms(10000);
    while (deployment.now() < end)
    {
        deployment.run_until(deployment.now() + observation_interval);
        if (!deployment.runs_any(first_id))
        {
            without_run += observation_interval;
        }
    }
    EXPECT_EQ(without_run.count(), 0);
}

// Guards against late work that is held back as long as work that no worker
// can run is before its objective.
TEST(review, impossible_work_in_time_does_not_lower_the_tolerance_of_late_work)
{
    auto const completes = [](bool impossible) {
        constexpr time_ms arrival_interval{500};
        simulated_deployment deployment(1, 4, 48);
        serve(deployment, {0.72, 0.05});
        auto work = filler(8, time_ms(1000));
        work.steps[0].demand.millicores = 100;
        deployment.submit(0, first_id, work);
        auto const end = deployment.now() + time_ms(20000);
        auto arrived = 0;
        while (deployment.now() < end)
        {
            if (impossible)
            {
                auto other = filler(1, time_ms(3000));
                other.steps[0].required_label = "no-such-label";
                deployment.submit(0, id_of(arrived++), other);
            }
            deployment.run_until(deployment.now() + arrival_interval);
        }
        return completed(deployment, first_id);
    };
    EXPECT_TRUE(completes(false));
    EXPECT_TRUE(completes(true));
}

// Guards against an opportunistic gang that never starts beside serving tasks
// where single tasks may start once they are late.
TEST(review, a_late_opportunistic_gang_starts)
{
    simulated_deployment deployment(1, 4, 49);
    serve(deployment, {0.72, 0.05});
    auto work = filler(2, time_ms(500));
    work.steps[0].demand.millicores = 100;
    work.steps[0].gang = true;
    deployment.submit(0, first_id, work);
    deployment.run_until(deployment.now() + time_ms(30000));
    EXPECT_GT(deployment.starts({first_id, 0, 0, 0}), 0U);
}

// Guards against occurrences that come after all work in time, whenever they
// are due, since the objective is that of the first occurrence.
TEST(review, a_later_occurrence_is_not_late_when_it_becomes_due)
{
    constexpr time_ms arrival_interval{100};
    constexpr time_ms interval{5000};
    simulated_deployment deployment(1, 1, 50);
    deployment.run_until(time_ms(3000));
    auto work = chain_of({1});
    work.repeat_count = 3;
    work.interval = interval;
    deployment.submit(0, first_id, work);
    auto arrived = 0;
    deployment.run_until(deployment.now() + arrival_interval);
    auto const due = [&](std::size_t count) {
        return state_of(deployment, first_id).occurrences.size() >= count;
    };
    auto const end = deployment.now() + time_ms(20000);
    while (deployment.now() < end)
    {
        auto other = chain_of({2});
        other.steps[0].demand.millicores = 4000;
        deployment.submit(0, id_of(arrived++), other);
        deployment.run_until(deployment.now() + arrival_interval);
    }
    ASSERT_TRUE(due(3));
    EXPECT_EQ(deployment.starts({first_id, 1, 0, 0}), 1U);
    EXPECT_EQ(deployment.starts({first_id, 2, 0, 0}), 1U);
}

// Guards against a run whose limit is raised as if it worked at the limit,
// though it is paused: it then disturbs twice as much as was allowed.
TEST(review, raising_a_paused_run_keeps_the_expected_tail)
{
    simulated_deployment deployment(1, 1, 51);
    serve(deployment, {0.6, 2.0});
    auto work = filler(1, time_ms(8000));
    work.steps[0].demand.millicores = 5000;
    deployment.submit(0, first_id, work);
    deployment.run_until(deployment.now() + time_ms(4000));
    ASSERT_EQ(run_of(deployment, first_id)->pace_percent, 20U);
    set_tails(deployment, 1.3);
    deployment.run_until(deployment.now() + time_ms(900));
    ASSERT_EQ(run_of(deployment, first_id)->pace_percent, 0U);
    set_tails(deployment, 0.7);
    deployment.run_until(deployment.now() + time_ms(100));
    std::int64_t highest = 0;
    auto const end = deployment.now() + time_ms(3000);
    while (deployment.now() < end)
    {
        deployment.run_until(deployment.now() + observation_interval);
        highest = std::max(highest, run_of(deployment, serving_id)->load);
    }
    EXPECT_LE(highest, 1000) << "the target is 1000 ms";
}

// Guards against sums over the runs of a worker that leave out the limits of
// paces.
TEST(review, runs_at_the_lowest_pace_keep_the_invariants)
{
    simulated_deployment deployment(1, 1, 52);
    serve(deployment, {0.82, 0.5});
    deployment.submit(0, first_id, filler(1, time_ms(20000)));
    deployment.run_until(deployment.now() + time_ms(3000));
    ASSERT_TRUE(deployment.runs_any(first_id));
    EXPECT_TRUE(deployment.violations.empty()) << deployment.violations.front();
}

// Guards against a worker that is lost for good since another writer put an
// entry with a later start in its place for a moment.
TEST(review, a_worker_is_used_again_after_an_entry_with_a_later_start)
{
    constexpr time_ms much_later{1000000000000};
    simulated_deployment deployment(1, 1, 53);
    deployment.run_until(time_ms(3000));
    auto odd = deployment.worker(0).entry();
    odd.process_started_at = much_later;
    deployment.store.put({record_kind::worker, odd.id}, odd);
    deployment.run_until(deployment.now() + time_ms(1000));
    deployment.list_worker(0);
    deployment.run_until(deployment.now() + time_ms(1000));
    deployment.submit(0, first_id, chain_of({1}));
    deployment.run_until(deployment.now() + time_ms(20000));
    EXPECT_EQ(deployment.starts({first_id, 0, 0, 0}), 1U);
}

} // namespace jaydrift::schedule::testing
