#include "checked_deployment_test.hpp"
#include "sample_work_test.hpp"

#include <jaydrift/schedule/submission_state.hpp>

#include <gtest/gtest.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace jaydrift::schedule::testing {

namespace {

constexpr char const* submission_id = "00000000000000a1";

constexpr std::uint32_t task_count = 16;

/// Time in which another daemon takes over from a killed owner.
constexpr time_ms takeover_time{5000};

constexpr time_ms step{1};

/// Workers with long-running tasks whose owner is killed and replaced.
class recovering_deployment : public checked_deployment
{
public:
    explicit recovering_deployment(std::uint64_t seed)
        : checked_deployment(3, 8, seed, 1)
    {
        for (std::size_t i = 0; i < worker_count(); ++i)
        {
            worker(i).interference.emplace();
        }
        run_until(time_ms(3000));
        auto work = chain_of({task_count});
        work.steps[0].long_running = true;
        submit(*owner(), submission_id, work);
        run_until(time_ms(6000));
        before_ = runs();
    }

    /// Kills the owner and runs until another daemon has restored the runs.
    void replace_owner()
    {
        auto const killed = *owner();
        kill(killed);
        auto const end = now() + takeover_time;
        while (now() < end && !restored(killed))
        {
            run_until(now() + step);
        }
        ASSERT_LT(now(), end);
    }

    /// Runs until the new owner serves.
    void await_owner()
    {
        auto const end = now() + takeover_time;
        while (now() < end && !owner())
        {
            run_until(now() + step);
        }
        ASSERT_TRUE(owner());
    }

    /// Checks for some time that each task keeps the run that it had, and that
    /// there is nothing to store.
    void expect_runs_kept(time_ms duration)
    {
        auto const end = now() + duration;
        while (now() < end)
        {
            auto const& submission = state();
            ASSERT_EQ(runs(), before_) << now().count();
            ASSERT_EQ(submission.waiting_tasks, 0U);
            ASSERT_EQ(submission.version, submission.stored_version);
            run_until(now() + step);
        }
    }

    /// Returns the numbers of the runs that the tasks had on the worker before
    /// the owner was killed, by the index of the task.
    std::map<std::uint32_t, std::uint64_t>
    runs_before_on(std::string const& worker) const
    {
        std::map<std::uint32_t, std::uint64_t> result;
        for (auto const& [index, place] : before_)
        {
            if (place.first == worker)
            {
                result.emplace(index, place.second);
            }
        }
        return result;
    }

    /// Returns the workers and the numbers of the runs, by the index of the
    /// task.
    std::map<std::uint32_t, std::pair<std::string, std::uint64_t>> runs() const
    {
        std::map<std::uint32_t, std::pair<std::string, std::uint64_t>> result;
        auto const& tasks = state().occurrences.at(0).steps.at(0).tasks;
        for (std::uint32_t i = 0; i < tasks.size(); ++i)
        {
            if (tasks[i].place)
            {
                result[i] = {tasks[i].place->worker, tasks[i].place->run};
            }
        }
        return result;
    }

private:
    /// Finds the daemon that has restored the runs.
    bool restored(std::size_t killed)
    {
        for (std::size_t i = 0; i < 3; ++i)
        {
            if (i != killed && daemon(i).shards[0].ownership.fencing_since)
            {
                successor_ = i;
                return true;
            }
        }
        return false;
    }

    submission_state const& state() const
    {
        auto const number = successor_ ? *successor_ : *owner();
        return daemon(number).shards[0].submissions.at(submission_id);
    }

    std::optional<std::size_t> successor_;
    std::map<std::uint32_t, std::pair<std::string, std::uint64_t>> before_;
};

} // namespace

// Guards against a new owner that drops the runs it has restored before the
// workers could answer: all tasks wait again, and all submissions are written
// to the store.
TEST(recovery, runs_keep_their_places_when_the_workers_answer)
{
    recovering_deployment deployment(61);
    ASSERT_EQ(deployment.runs().size(), task_count);
    deployment.replace_owner();
    deployment.expect_runs_kept(time_ms(2000));
    EXPECT_TRUE(deployment.owner());
}

// Guards against runs that are given up before their leases expire since their
// worker answers only after the new owner has begun to serve.
TEST(recovery, runs_keep_their_places_when_a_worker_answers_late)
{
    recovering_deployment deployment(62);
    ASSERT_FALSE(deployment.runs_before_on("w0").empty());
    deployment.worker(0).reachable = false;
    deployment.replace_owner();
    deployment.expect_runs_kept(time_ms(1500));
    EXPECT_TRUE(deployment.owner());
    deployment.worker(0).reachable = true;
    deployment.expect_runs_kept(time_ms(3000));
}

// Guards against a new owner that takes a run that the store knows of for one
// that goes on although the worker no longer lists it.
TEST(recovery, runs_that_a_worker_does_not_list_are_given_up_at_once)
{
    recovering_deployment deployment(63);
    auto const gone = deployment.runs_before_on("w0");
    ASSERT_FALSE(gone.empty());
    deployment.crash(0, time_ms(1));
    deployment.replace_owner();
    deployment.await_owner();
    auto const runs = deployment.runs();
    for (auto const& [index, number] : gone)
    {
        EXPECT_TRUE(!runs.contains(index) || runs.at(index).second > number);
    }
}

// Guards against runs that are kept for ever on a worker that never answers.
TEST(recovery, runs_of_a_silent_worker_are_given_up_when_their_leases_expire)
{
    recovering_deployment deployment(64);
    auto const gone = deployment.runs_before_on("w0");
    ASSERT_FALSE(gone.empty());
    deployment.worker(0).reachable = false;
    deployment.replace_owner();
    deployment.await_owner();
    deployment.run_until(deployment.now() + time_ms(7000));
    auto const runs = deployment.runs();
    EXPECT_EQ(runs.size(), task_count);
    for (auto const& [index, number] : gone)
    {
        ASSERT_TRUE(runs.contains(index));
        EXPECT_GT(runs.at(index).second, number);
        EXPECT_NE(runs.at(index).first, "w0");
    }
}

} // namespace jaydrift::schedule::testing
