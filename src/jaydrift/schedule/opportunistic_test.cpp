#include "checked_deployment_test.hpp"
#include "sample_work_test.hpp"
#include "serving_deployment_test.hpp"

#include <gtest/gtest.h>

#include <map>
#include <set>
#include <string>

namespace jaydrift::schedule::testing {

namespace {

constexpr time_ms observation_interval{50};

/// Time within which a late submission that could run has something running.
constexpr time_ms longest_wait{5000};

std::string const first_id = "00000000000000a1";

submission_state const& state_of(simulated_deployment const& deployment,
                                 std::string const& id)
{
    return deployment.daemon(0).shards[0].submissions.at(id);
}

bool completed(simulated_deployment const& deployment, std::string const& id)
{
    return state_of(deployment, id).phase == submission_phase::completed;
}

/// Returns whether work of the same image starts on idle workers within 5 s
/// while a submission that no worker can run comes before it at all times.
bool starts_beside(submission const& impossible)
{
    checked_deployment deployment(1, 4, 23);
    deployment.run_until(time_ms(3000));
    deployment.submit(0, first_id, impossible);
    deployment.run_until(time_ms(3100));
    deployment.submit(0, id_of(1), filler(200, time_ms(500)));
    deployment.run_until(deployment.now() + longest_wait);
    return state_of(deployment, id_of(1)).started;
}

/// Returns the pace of the run of `first_id` on the only worker; full if it has
/// ended.
std::uint32_t pace_of_run(simulated_deployment const& deployment)
{
    auto const& runs = deployment.daemon(0).shards[0].workers.at("w0").runs;
    auto const run = runs.lower_bound({{first_id, 0, 0, 0}, 0});
    return run == runs.end() || run->first.task.submission != first_id
               ? 100
               : run->second.pace_percent;
}

/// Lets the only worker run a task of `first_id` and raises the tail latency of
/// its serving task until the task is paused.
void pause_a_run(simulated_deployment& deployment)
{
    deployment.submit(0, first_id, filler(1, time_ms(3000)));
    deployment.run_until(deployment.now() + time_ms(300));
    ASSERT_TRUE(deployment.runs_any(first_id));
    deployment.worker(0).interference->idle_tail = 1.3;
    deployment.run_until(deployment.now() + time_ms(1500));
    ASSERT_EQ(pace_of_run(deployment), 0U);
}

} // namespace

// Guards against a late submission that waits without bound because the serving
// tasks of all workers are close to their targets, though not above them.
TEST(opportunistic, late_work_starts_beside_serving_tasks_near_their_targets)
{
    checked_deployment deployment(1, 8, 21);
    serve(deployment, {0.82, 0.5});
    deployment.submit(0, first_id, filler(4, time_ms(500)));
    deployment.run_until(time_ms(4100));
    auto const objective = state_of(deployment, first_id).objective;
    auto const end = objective + longest_wait;
    while (deployment.now() < end && !deployment.runs_any(first_id))
    {
        deployment.run_until(deployment.now() + observation_interval);
    }
    EXPECT_TRUE(deployment.runs_any(first_id)) << "5 s after its objective";
    deployment.run_until(end + longest_wait);
    EXPECT_TRUE(completed(deployment, first_id));
}

// Guards against a late submission that waits without bound where the tail
// latencies are expected to stay below their targets with it.
TEST(opportunistic, late_work_starts_where_targets_are_expected_to_be_met)
{
    checked_deployment deployment(1, 8, 31);
    serve(deployment, {0.82, 0.5});
    auto work = filler(4, time_ms(500));
    work.steps[0].demand.millicores = 250;
    deployment.submit(0, first_id, work);
    deployment.run_until(time_ms(4100));
    deployment.run_until(state_of(deployment, first_id).objective
                         + longest_wait);
    EXPECT_TRUE(state_of(deployment, first_id).started);
    deployment.run_until(deployment.now() + longest_wait);
    EXPECT_TRUE(completed(deployment, first_id));
}

// Guards against work that never starts beside images that it was never seen
// with: it is expected to disturb them, and nothing shows that it does not.
TEST(opportunistic, late_work_of_an_unknown_image_starts)
{
    checked_deployment deployment(1, 8, 30);
    serve(deployment, {0.66, 0.5});
    deployment.submit(0, first_id, filler(4, time_ms(500)));
    deployment.run_until(time_ms(4100));
    deployment.run_until(state_of(deployment, first_id).objective
                         + longest_wait);
    EXPECT_TRUE(state_of(deployment, first_id).started);
    deployment.run_until(deployment.now() + longest_wait);
    EXPECT_TRUE(completed(deployment, first_id));
}

// Guards against late submissions that new work keeps from starting, and that
// wait on after the last arrival.
TEST(opportunistic, a_late_backlog_starts_once_no_new_work_arrives)
{
    constexpr auto backlog = 40;
    constexpr time_ms arrival_interval{250};
    constexpr time_ms settling_time{14000};
    constexpr time_ms longest_gap{3000};
    checked_deployment deployment(1, 8, 22);
    serve(deployment, {0.82, 0.2});
    for (auto i = 0; i < backlog; ++i)
    {
        deployment.submit(0, id_of(i), filler(4, time_ms(2000)));
    }
    deployment.run_until(time_ms(10000));
    for (auto i = 0; i < backlog; ++i)
    {
        ASSERT_LT(state_of(deployment, id_of(i)).objective, deployment.now());
    }
    // Two workers have room for what arrives before its objective.
    deployment.worker(0).interference->idle_tail = 0.3;
    deployment.worker(1).interference->idle_tail = 0.3;
    auto arrived = backlog;
    while (deployment.now() < time_ms(30000))
    {
        deployment.submit(0, id_of(arrived++), filler(4, time_ms(2000)));
        deployment.run_until(deployment.now() + arrival_interval);
    }
    auto const settled = deployment.now() + settling_time;
    std::map<int, time_ms> last_seen;
    std::set<int> starved;
    while (deployment.now() < settled + longest_wait)
    {
        deployment.run_until(deployment.now() + observation_interval);
        for (auto i = 0; i < backlog; ++i)
        {
            if (deployment.runs_any(id_of(i))
                || completed(deployment, id_of(i)))
            {
                last_seen[i] = deployment.now();
            }
            else if (deployment.now() >= settled
                     && deployment.now() - last_seen[i] >= longest_gap)
            {
                starved.insert(i);
            }
        }
    }
    EXPECT_TRUE(starved.empty())
        << starved.size() << " of " << backlog << " had nothing running";
}

// Guards against work that waits although all workers are idle: a task of the
// same image could not be placed since no worker has its label.
TEST(opportunistic, a_missing_label_does_not_hold_up_others_of_the_image)
{
    auto impossible = filler(1, time_ms(1000));
    impossible.steps[0].required_label = "no-such-label";
    EXPECT_TRUE(starts_beside(impossible));
}
// Guards against work that waits although all workers are idle: a task of the
// same image could not be placed since it needs more memory than any has.
TEST(opportunistic, a_lack_of_memory_does_not_hold_up_others_of_the_image)
{
    auto impossible = filler(1, time_ms(1000));
    impossible.steps[0].demand.memory_mb = 100000;
    EXPECT_TRUE(starts_beside(impossible));
}
// Guards against late work that could start and waits because work of the same
// image before its objective, which may disturb less, could not be placed.
TEST(opportunistic, refused_work_in_time_does_not_hold_up_late_work)
{
    auto const starts_late = [](bool others) {
        constexpr time_ms arrival_interval{500};
        constexpr time_ms longest_lateness{12000};
        checked_deployment deployment(1, 4, 25);
        serve(deployment, {0.75, 0.05});
        auto const small = [](time_ms estimate) {
            auto work = filler(1, estimate);
            work.steps[0].demand.millicores = 100;
            return work;
        };
        deployment.submit(0, first_id, small(time_ms(500)));
        deployment.run_until(time_ms(4100));
        auto const end =
            state_of(deployment, first_id).objective + longest_lateness;
        auto arrived = 0;
        while (deployment.now() < end)
        {
            if (others)
            {
                deployment.submit(0, id_of(arrived++), small(time_ms(3000)));
            }
            deployment.run_until(deployment.now() + arrival_interval);
        }
        return deployment.starts({first_id, 0, 0, 0}) > 0;
    };
    EXPECT_TRUE(starts_late(false));
    EXPECT_TRUE(starts_late(true));
}

// Guards against a run that stays paused after the serving task that it
// disturbed has gone.
TEST(opportunistic, a_paused_run_resumes_once_the_serving_task_has_gone)
{
    checked_deployment deployment(1, 1, 26);
    serve(deployment, {0.5, 0.5});
    pause_a_run(deployment);
    deployment.cancel(0, serving_id);
    deployment.run_until(deployment.now() + time_ms(10000));
    EXPECT_TRUE(completed(deployment, first_id));
}
// Guards against a run that is taken to hang, and stopped, because it made no
// progress while it was paused.
TEST(opportunistic, a_run_that_resumes_is_not_taken_to_hang)
{
    simulated_deployment deployment(1, 1, 32);
    serve(deployment, {0.5, 0.5});
    pause_a_run(deployment);
    deployment.run_until(deployment.now() + time_ms(4000));
    deployment.cancel(0, serving_id);
    deployment.run_until(deployment.now() + time_ms(10000));
    EXPECT_TRUE(completed(deployment, first_id));
    EXPECT_EQ(deployment.starts({first_id, 0, 0, 0}), 1U);
}

// Guards against a run that stays paused while the serving task beside it is
// below its target, though not far.
TEST(opportunistic, a_paused_run_resumes_beside_a_serving_task_near_its_target)
{
    // 3 s of work at a tenth of the full pace.
    constexpr time_ms time_at_smallest_pace{30000};
    checked_deployment deployment(1, 1, 27);
    serve(deployment, {0.5, 0.5});
    pause_a_run(deployment);
    deployment.worker(0).interference->idle_tail = 0.85;
    deployment.run_until(deployment.now() + longest_wait);
    EXPECT_GT(pace_of_run(deployment), 0U);
    deployment.run_until(deployment.now() + time_at_smallest_pace);
    EXPECT_TRUE(completed(deployment, first_id));
}

// Guards against a paused run that is stopped to be moved although no other
// worker takes its task.
TEST(opportunistic, a_paused_run_stays_if_no_other_worker_takes_its_task)
{
    checked_deployment deployment(1, 2, 28);
    serve(deployment, {0.5, 0.5});
    auto work = filler(1, time_ms(3000));
    work.steps[0].checkpoints = true;
    deployment.submit(0, first_id, work);
    deployment.run_until(time_ms(4500));
    ASSERT_TRUE(deployment.runs_any(first_id));
    deployment.worker(0).interference->idle_tail = 1.3;
    deployment.worker(1).interference->idle_tail = 1.3;
    time_ms without_run;
    while (deployment.now() < time_ms(20000))
    {
        deployment.run_until(deployment.now() + observation_interval);
        if (!deployment.runs_any(first_id))
        {
            without_run += observation_interval;
        }
    }
    EXPECT_EQ(without_run.count(), 0);
}
// Guards against tasks that are moved from worker to worker wherever the tail
// latency has just fallen, and stopped there as soon as it rises.
TEST(opportunistic, tasks_are_not_moved_again_and_again)
{
    constexpr std::uint32_t tasks = 4;
    constexpr std::size_t most_starts = 4;
    constexpr time_ms wave{2000};
    checked_deployment deployment(1, 4, 29);
    serve(deployment, {0.4, 0.5});
    auto work = filler(tasks, time_ms(20000));
    work.steps[0].checkpoints = true;
    deployment.submit(0, first_id, work);
    deployment.run_until(time_ms(4500));
    // The tail latency is low on one worker at a time.
    for (std::size_t quiet = 0; deployment.now() < time_ms(24500); ++quiet)
    {
        for (std::size_t i = 0; i < deployment.worker_count(); ++i)
        {
            deployment.worker(i).interference->idle_tail =
                i == quiet % deployment.worker_count() ? 0.4 : 1.3;
        }
        deployment.run_until(deployment.now() + wave);
    }
    for (std::uint32_t i = 0; i < tasks; ++i)
    {
        EXPECT_LE(deployment.starts({first_id, 0, 0, i}), most_starts) << i;
    }
}

} // namespace jaydrift::schedule::testing
