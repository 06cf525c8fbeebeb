#include "checked_deployment_test.hpp"
#include "sample_work_test.hpp"

#include <gtest/gtest.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace jaydrift::schedule::testing {

namespace {

constexpr std::size_t daemons = 3;
constexpr std::size_t workers = 3;
constexpr std::uint32_t tasks = 6;
constexpr time_ms longest_lease{10000};

/// A process of worker 0 that has seen no fencing token yet.
class unfenced_process : public ::testing::Test
{
protected:
    void start(std::uint64_t seed)
    {
        auto& target = deployment_.emplace(daemons, workers, seed, 1);
        target.max_lease = longest_lease;
        for (std::size_t i = 0; i < daemons; ++i)
        {
            target.kill(i);
            target.start(i);
        }
        for (std::size_t i = 0; i < workers; ++i)
        {
            target.worker(i).longest_lease = longest_lease;
            target.worker(i).interference.emplace();
        }
        target.run_until(time_ms(60000));
    }

    /// Starts tasks, of which all fit on the other workers.
    void submit(time_ms estimate)
    {
        auto work = chain_of({tasks});
        work.steps[0].demand = {2000, 1000, 0};
        work.steps[0].estimate = estimate;
        deployment_->submit(*deployment_->owner(), id_of(1), work);
    }

    void run_for(time_ms duration)
    {
        deployment_->run_until(deployment_->now() + duration);
    }

    simulated_worker& worker() { return deployment_->worker(0); }

    worker_state const& known()
    {
        return deployment_->daemon(*deployment_->owner())
            .shards[0]
            .workers.at(worker().entry().id);
    }

    /// The start orders that the owner has sent to the worker.
    std::vector<worker_call> start_orders()
    {
        std::vector<worker_call> result;
        for (auto const& [run, state] : known().runs)
        {
            result.push_back(
                order(start_order{run, {}, known().lease_until, {}}));
        }
        return result;
    }

    template<class Order>
    worker_call order(Order content)
    {
        worker_call result;
        result.token = deployment_->daemon(*deployment_->owner())
                           .shards[0]
                           .ownership.revision;
        result.order = std::move(content);
        return result;
    }

    void carry_out(worker_call const& order)
    {
        EXPECT_EQ(worker().execute(order, deployment_->now()).status,
                  worker_status::ok);
    }

    std::optional<checked_deployment> deployment_;
};

} // namespace

// Guards against a task that runs twice: a worker starts again and is cut off
// before its owner can notice. Start orders that reach the new process have a
// lease on the clock of the one before, so it holds the longest one, while the
// owner waits for the end of the lease that it has granted.
TEST_F(unfenced_process, holds_no_longer_lease_than_its_owner_waits_for)
{
    start(811);
    submit(time_ms(40000));
    worker().restart(deployment_->now());
    deployment_->cut_workers = {0};
    run_for(time_ms(500));
    ASSERT_FALSE(known().runs.empty());
    for (auto const& each : start_orders())
    {
        carry_out(each);
    }
    run_for(time_ms(20000));
}

// Guards against the same when the owner has noticed, and the orders are
// carried out seconds later.
TEST_F(unfenced_process, carries_out_no_late_start)
{
    start(812);
    submit(time_ms(40000));
    deployment_->cut_workers = {0};
    run_for(time_ms(500));
    ASSERT_FALSE(known().runs.empty());
    auto const orders = start_orders();
    worker().restart(deployment_->now());
    deployment_->list_worker(0);
    run_for(time_ms(3000));
    for (auto const& each : orders)
    {
        carry_out(each);
    }
    run_for(time_ms(20000));
}

// Guards against a task that runs again after its end was acknowledged: a hold
// order for the process before tells the new one that its ends are stored.
TEST_F(unfenced_process, keeps_its_ends_when_a_late_hold_is_carried_out)
{
    start(813);
    submit(time_ms(100));
    worker().restart(deployment_->now());
    worker().reachable = false;
    run_for(time_ms(300));
    ASSERT_FALSE(known().runs.empty());
    for (auto const& each : start_orders())
    {
        carry_out(each);
    }
    run_for(time_ms(300));
    constexpr std::uint64_t ends = 100;
    carry_out(order(hold_order{{}, ends, time_ms(0)}));
    worker().reachable = true;
    run_for(time_ms(10000));
    EXPECT_EQ(deployment_->show(0, id_of(1)).phase,
              submission_phase::completed);
}

} // namespace jaydrift::schedule::testing
