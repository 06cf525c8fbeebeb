#include "checked_deployment_test.hpp"
#include "sample_work_test.hpp"

#include <gtest/gtest.h>

#include <cstddef>
#include <cstdint>

namespace jaydrift::schedule::testing {

namespace {

constexpr std::size_t daemons = 3;
constexpr std::size_t workers = 3;

/// Labels of the workers for the first and for the second step.
constexpr char const* first = "first";
constexpr char const* second = "second";

/// Longer than a new owner waits for workers that do not answer.
constexpr time_ms suspension{12000};

/// An owner that fails after it has started a task of which the store knows no
/// place.
class unaccounted_workers : public ::testing::Test
{
protected:
    /// Runs a task of which the store does not know, since it is out, and kills
    /// the owner. The worker with the task is cut off. The worker's entry tells
    /// of the process before.
    void lose_owner(time_ms estimate)
    {
        for (std::size_t i = 0; i < workers; ++i)
        {
            deployment_.worker(i).interference.emplace();
            deployment_.worker(i).entry().labels = {i == 0 ? first : second};
            deployment_.list_worker(i);
        }
        run_for(time_ms(4000));
        for (std::size_t i = 0; i < workers; ++i)
        {
            deployment_.worker(i).restart(deployment_.now());
        }
        run_for(time_ms(2000));
        auto work = chain_of({1, 1});
        work.steps[0].required_label = first;
        work.steps[0].estimate = time_ms(1000);
        work.steps[1].required_label = second;
        work.steps[1].estimate = estimate;
        deployment_.submit(0, id_of(1), work);
        run_for(time_ms(500));
        deployment_.store_up = false;
        run_for(time_ms(900));
        ASSERT_EQ(deployment_.starts(task_), 1U);
        worker_ = worker_of_task();
        deployment_.cut_workers = {worker_};
        deployment_.kill(*deployment_.owner());
        deployment_.store_up = true;
        run_for(time_ms(2000));
        ASSERT_TRUE(deployment_.owner());
    }

    void run_for(time_ms duration)
    {
        deployment_.run_until(deployment_.now() + duration);
    }

    std::size_t worker_of_task()
    {
        return deployment_.last_start(deployment_.worker(1).entry().id) ? 1 : 2;
    }

    checked_deployment deployment_{daemons, workers, 801, 1};
    task_id task_{id_of(1), 0, 1, 0};
    std::size_t worker_ = 0;
};

} // namespace

// Guards against a task that runs twice: a new owner learns from the store that
// a silent worker has started again, and takes it to run nothing, though the
// owner before has started tasks in the new process.
TEST_F(unaccounted_workers, a_later_process_may_run_tasks_of_the_owner_before)
{
    lose_owner(time_ms(60000));
    deployment_.list_worker(worker_);
    run_for(time_ms(1000));
    EXPECT_EQ(deployment_.starts(task_), 1U);
    run_for(time_ms(10000));
    EXPECT_TRUE(deployment_.runs(task_));
}

// Guards against the same when the worker itself tells that it has started
// again.
TEST_F(unaccounted_workers, a_worker_that_answers_is_asked_what_it_runs)
{
    lose_owner(time_ms(60000));
    deployment_.cut_workers.clear();
    run_for(time_ms(10000));
    EXPECT_TRUE(deployment_.runs(task_));
    EXPECT_EQ(deployment_.starts(task_), 1U);
}

// Guards against a task that runs again although it has ended: a new owner that
// was suspended gives up the runs of workers that it has not asked since.
TEST_F(unaccounted_workers, are_asked_after_a_suspension)
{
    lose_owner(time_ms(2000));
    deployment_.store_up = false;
    run_for(suspension);
    deployment_.cut_workers.clear();
    deployment_.store_up = true;
    run_for(time_ms(5000));
    EXPECT_EQ(deployment_.starts(task_), 1U);
    EXPECT_EQ(deployment_.show(*deployment_.owner(), id_of(1)).phase,
              submission_phase::completed);
}

} // namespace jaydrift::schedule::testing
