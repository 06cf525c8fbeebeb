#include "checked_deployment_test.hpp"
#include "sample_work_test.hpp"

#include <gtest/gtest.h>

#include <set>
#include <string>

namespace jaydrift::schedule::testing {

namespace {

/// Time within which work that could run is started.
constexpr time_ms longest_wait{5000};

constexpr time_ms arrival_interval{200};

std::string const first_id = "00000000000000a1";

submission_state const& state_of(simulated_deployment const& deployment,
                                 std::string const& id)
{
    return deployment.daemon(0).shards[0].submissions.at(id);
}

/// Returns whether the work starts before 5 s have passed since its objective,
/// while small urgent tasks arrive all the time.
bool starts_beside_small_tasks(simulated_deployment& deployment,
                               submission const& work,
                               std::uint32_t tasks_per_arrival)
{
    auto arrived = 0;
    auto const arrive = [&] {
        deployment.submit(0, id_of(arrived++), chain_of({tasks_per_arrival}));
        deployment.run_until(deployment.now() + arrival_interval);
    };
    deployment.run_until(time_ms(3000));
    while (deployment.now() < time_ms(6000))
    {
        arrive();
    }
    deployment.submit(0, first_id, work);
    arrive();
    auto const end = state_of(deployment, first_id).objective + longest_wait;
    while (deployment.now() < end && !deployment.runs_any(first_id))
    {
        arrive();
    }
    return deployment.runs_any(first_id);
}

} // namespace

// Guards against tasks that wait without bound since their worker refuses all
// orders as unavailable: its lease is taken to be renewed by each of them.
TEST(starvation, tasks_of_a_worker_that_refuses_orders_start_elsewhere)
{
    checked_deployment deployment(1, 3, 41);
    deployment.run_until(time_ms(3000));
    deployment.submit(0, first_id, chain_of({18}));
    deployment.run_until(time_ms(3200));
    ASSERT_TRUE(deployment.runs_any(first_id));
    deployment.worker(0).healthy = false;
    deployment.run_until(time_ms(20000));
    EXPECT_EQ(state_of(deployment, first_id).phase,
              submission_phase::completed);
}

// Guards against a gang that never finds all its places since single tasks take
// each one that gets free.
TEST(starvation, a_gang_starts_beside_a_stream_of_small_tasks)
{
    checked_deployment deployment(1, 4, 42);
    auto gang = chain_of({16});
    gang.steps[0].gang = true;
    EXPECT_TRUE(starts_beside_small_tasks(deployment, gang, 8));
}

// Guards against a task that needs almost a whole worker and never finds one
// since small tasks take each processor that gets free.
TEST(starvation, a_large_task_starts_beside_a_stream_of_small_ones)
{
    checked_deployment deployment(1, 4, 43);
    auto large = chain_of({1});
    large.steps[0].demand.millicores = 7000;
    EXPECT_TRUE(starts_beside_small_tasks(deployment, large, 9));
}

// Guards against work that waits since a task of the same image could not be
// placed for a limit on its tasks per worker.
TEST(starvation, a_limit_per_worker_does_not_hold_up_others_of_the_image)
{
    checked_deployment deployment(1, 4, 44);
    for (std::size_t i = 0; i < deployment.worker_count(); ++i)
    {
        deployment.worker(i).interference.emplace();
    }
    deployment.run_until(time_ms(3000));
    auto limited = chain_of({5});
    limited.steps[0].opportunistic = true;
    limited.steps[0].image = "filler";
    limited.steps[0].max_per_worker = 1;
    limited.steps[0].estimate = time_ms(20000);
    deployment.submit(0, first_id, limited);
    deployment.run_until(time_ms(3100));
    auto other = limited;
    other.steps[0].max_per_worker = 0;
    deployment.submit(0, id_of(1), other);
    deployment.run_until(deployment.now() + longest_wait);
    EXPECT_TRUE(state_of(deployment, id_of(1)).started);
}

// Guards against a gang without places that counts as started each time it is
// tried: its waiting time begins again, and the next pass follows at once.
TEST(starvation, an_attempt_to_place_a_gang_in_vain_changes_nothing)
{
    checked_deployment deployment(1, 4, 45);
    deployment.run_until(time_ms(3000));
    auto gang = chain_of({40});
    gang.steps[0].gang = true;
    deployment.submit(0, first_id, gang);
    deployment.run_until(time_ms(5000));
    auto const& submission = state_of(deployment, first_id);
    EXPECT_FALSE(submission.started);
    EXPECT_EQ(submission.phase, submission_phase::queued);
    auto const& task = submission.occurrences[0].steps[0].tasks[0];
    EXPECT_LT(task.waiting_since, time_ms(3100));
    std::set<time_ms> passes;
    while (deployment.now() < time_ms(6000))
    {
        deployment.run_until(deployment.now() + time_ms(1));
        passes.insert(deployment.daemon(0).shards[0].last_pass);
    }
    // Without a change there is a pass every 100 ms.
    EXPECT_LE(passes.size(), 11U);
}

} // namespace jaydrift::schedule::testing
