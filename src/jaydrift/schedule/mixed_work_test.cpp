#include "random_faults_test.hpp"
#include "sample_work_test.hpp"
#include "simulated_deployment_test.hpp"

#include <jaydrift/core/random.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <set>
#include <string>

namespace jaydrift::schedule::testing {

namespace {

std::uint32_t between(random_source& random, std::uint32_t low,
                      std::uint32_t high)
{
    return low + static_cast<std::uint32_t>(random.below(high - low + 1));
}

time_ms random_time(random_source& random, std::uint32_t low,
                    std::uint32_t high)
{
    return time_ms(between(random, low, high));
}

void make_opportunistic(random_source& random, step_spec& step)
{
    step.opportunistic = true;
    step.checkpoints = random.below(2) == 0;
    step.image = "filler-" + std::to_string(random.below(3));
}

/// Returns a step of serving tasks.
submission random_service(random_source& random)
{
    auto work = chain_of({between(random, 1, 4)});
    auto& step = work.steps[0];
    step.long_running = true;
    step.latency_target = time_ms(1000);
    step.max_per_worker = random.below(2) == 0 ? 1 : 0;
    step.demand.millicores = std::int64_t{between(random, 1, 3)} * 1000;
    step.image = "server-" + std::to_string(random.below(2));
    return work;
}

/// Returns work that ends by itself.
submission random_work(random_source& random, time_ms now, bool repeats)
{
    auto work = chain_of({between(random, 1, 8), between(random, 1, 6)});
    for (auto& step : work.steps)
    {
        step.estimate = random_time(random, 100, 1500);
        step.demand.millicores = std::int64_t{between(random, 1, 4)} * 500;
    }
    switch (random.below(repeats ? 5 : 4))
    {
    case 0:
        make_opportunistic(random, work.steps[0]);
        break;
    case 1:
        make_opportunistic(random, work.steps[1]);
        break;
    case 2:
        // Simulated members of a gang end one by one, so nothing comes after.
        work.steps[1].gang = true;
        break;
    case 3:
        work.steps[0].max_per_worker = between(random, 1, 3);
        break;
    default:
        work.first_due = now + random_time(random, 0, 2000);
        work.interval = random_time(random, 300, 3000);
        work.repeat_count = between(random, 1, 4);
        break;
    }
    return work;
}

void set_random_tail(simulated_deployment& deployment, std::size_t worker,
                     random_source& random)
{
    deployment.worker(worker).interference = {between(random, 30, 120) / 100.0,
                                              between(random, 0, 30) / 10.0};
}

/// Cancels the submissions until the answers confirm it.
void cancel_all(simulated_deployment& deployment,
                std::set<std::string> const& ids)
{
    for (auto const& id : ids)
    {
        for (auto i = 0; i < 10; ++i)
        {
            deployment.cancel(1, id);
            deployment.run_until(deployment.now() + time_ms(200));
            if (deployment.answers[id].result == answer::code::ok)
            {
                break;
            }
        }
    }
}

/// Submits work of all kinds under random faults, and cancels some of it.
/// Returns the first violation, or an empty text.
std::string violation_with_mixed_work(std::uint64_t seed, bool repeats = false)
{
    constexpr std::size_t workers = 6;
    simulated_deployment deployment(3, workers, seed, 1);
    random_source random(seed);
    for (std::size_t i = 0; i < workers; ++i)
    {
        set_random_tail(deployment, i, random);
    }
    deployment.run_until(time_ms(2500));
    std::set<std::string> services;
    std::set<std::string> cancelled;
    std::set<std::string> accepted;
    for (auto round = 1; round <= 30; ++round)
    {
        auto const id = id_of(round);
        auto const serves = random.below(6) == 0;
        deployment.submit(random.below(3), id,
                          serves
                              ? random_service(random)
                              : random_work(random, deployment.now(), repeats));
        if (serves)
        {
            services.insert(id);
        }
        auto const other = id_of(
            static_cast<int>(random.below(static_cast<std::uint64_t>(round)))
            + 1);
        if (random.below(5) == 0
            && deployment.answers[other].result == answer::code::ok)
        {
            accepted.insert(other);
            cancelled.insert(other);
            deployment.cancel(random.below(3), other);
        }
        if (random.below(2) == 0)
        {
            random_fault(deployment, random);
        }
        set_random_tail(deployment, random.below(workers), random);
        deployment.run_until(deployment.now() + random_time(random, 0, 1500));
    }
    end_faults(deployment);
    for (std::size_t i = 0; i < workers; ++i)
    {
        deployment.worker(i).interference->idle_tail = 0.3;
        deployment.worker(i).failing_percent = 0;
    }
    for (auto const& [id, reply] : deployment.answers)
    {
        if (reply.result == answer::code::ok)
        {
            accepted.insert(id);
        }
    }
    deployment.run_until(deployment.now() + time_ms(30000));
    cancel_all(deployment, cancelled);
    cancel_all(deployment, services);
    deployment.run_until(deployment.now() + time_ms(5000));
    if (!deployment.violations.empty())
    {
        return deployment.violations.front();
    }
    for (auto const& id : accepted)
    {
        auto const reply = deployment.show(1, id);
        if (reply.result != answer::code::state || !ended(reply.phase))
        {
            return id + " was accepted and has not ended";
        }
    }
    return {};
}

} // namespace

// Guards the guarantees that `simulated_deployment` checks, and that each
// accepted submission ends once the faults are over, with work of all kinds.
RC_GTEST_PROP(mixed_work, keeps_all_guarantees_under_random_faults,
              (std::uint64_t seed))
{
    auto const violation = violation_with_mixed_work(seed);
    if (!violation.empty())
    {
        RC_FAIL(violation);
    }
}

// Guards against an occurrence that starts twice: it is due while another
// daemon takes over, and the owner that is cut off starts it as well.
TEST(mixed_work, an_occurrence_does_not_start_twice_across_a_change_of_owner)
{
    simulated_deployment deployment(4, 3, 32);
    deployment.run_until(time_ms(3000));
    auto const owner = deployment.owner();
    ASSERT_TRUE(owner);
    auto work = chain_of({2});
    work.first_due = time_ms(4000);
    work.interval = time_ms(100);
    work.repeat_count = 40;
    deployment.submit(*owner, id_of(1), work);
    deployment.run_until(time_ms(3500));
    deployment.cut_daemons = {*owner, (*owner + 1) % 4};
    deployment.cut_workers = {0, 1};
    deployment.run_until(time_ms(12000));
    EXPECT_TRUE(deployment.violations.empty()) << deployment.violations.front();
}

// The same with work that is repeated.
RC_GTEST_PROP(mixed_work, repeated_work_keeps_all_under_random_faults,
              (std::uint64_t seed))
{
    auto const violation = violation_with_mixed_work(seed, true);
    if (!violation.empty())
    {
        RC_FAIL(violation);
    }
}

// Guards against ends that are lost: an owner that was suspended acknowledged
// those of a worker's earlier process to the next one.
TEST(mixed_work, ends_are_not_acknowledged_to_a_later_process)
{
    for (std::uint64_t const seed : {10879938617UL, 1345707967086996UL})
    {
        EXPECT_EQ(violation_with_mixed_work(seed), "") << seed;
    }
}

// Guards against work that does not end since a run of it stays paused on a
// worker whose serving task has gone.
TEST(mixed_work, paused_runs_end_after_a_serving_task_has_gone)
{
    EXPECT_EQ(violation_with_mixed_work(118670), "");
}

// Guards against a task that runs twice: an order with a lease on the clock of
// a worker's earlier process reaches the next one late, which then outlives the
// lease that the owner knows of.
TEST(mixed_work, a_lease_on_an_earlier_clock_is_not_taken_by_a_later_process)
{
    EXPECT_EQ(violation_with_mixed_work(204693456089963368, true), "");
}

} // namespace jaydrift::schedule::testing
