#include "checked_deployment_test.hpp"
#include "sample_work_test.hpp"

#include <gtest/gtest.h>

#include <cstddef>
#include <cstdint>
#include <optional>

namespace jaydrift::schedule::testing {

namespace {

constexpr std::size_t daemons = 3;
constexpr std::size_t workers = 3;
constexpr time_ms longest_lease{10000};

/// Far in the future on the clock of a process that has started since.
constexpr time_ms earlier_clock{60000};

/// Two tasks fit on a worker, so one more has room elsewhere.
constexpr std::uint32_t tasks = 5;

/// Workers that allow leases of twice the length that owners grant, with long
/// tasks, of which worker 0 runs some in its second process.
class late_orders : public ::testing::Test
{
protected:
    void start(std::uint64_t seed)
    {
        auto& target = deployment_.emplace(daemons, workers, seed);
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
        target.run_until(time_ms(15000));
    }

    void submit()
    {
        auto work = chain_of({tasks});
        work.steps[0].demand = {4000, 1000, 0};
        work.steps[0].estimate = time_ms(40000);
        deployment_->submit(0, id_of(1), work);
        run_for(time_ms(1000));
    }

    /// Starts worker 0 again; its owner learns of that.
    void restart_worker()
    {
        deployment_->crash(0, time_ms(600));
        run_for(time_ms(2000));
    }

    void run_for(time_ms duration)
    {
        deployment_->run_until(deployment_->now() + duration);
    }

    shard_state const& owned_shard()
    {
        return deployment_->daemon(*deployment_->owner()).shards[0];
    }

    worker_state const& state_of_worker()
    {
        return owned_shard().workers.at(deployment_->worker(0).entry().id);
    }

    /// Carries out an order on worker 0 with the token that orders to its first
    /// process had.
    worker_status carry_out(worker_call late)
    {
        late.token = owned_shard().ownership.revision;
        return deployment_->worker(0).execute(late, deployment_->now()).status;
    }

    bool started_everywhere()
    {
        for (std::uint32_t i = 0; i < tasks; ++i)
        {
            if (deployment_->starts({id_of(1), 0, 0, i}) == 0)
            {
                return false;
            }
        }
        return true;
    }

    std::optional<checked_deployment> deployment_;
};

} // namespace

// Guards against a task that runs twice: a hold order with a lease on the clock
// of a worker's earlier process is carried out by the present one long after
// the owner has learned of it, and the worker is cut off.
TEST_F(late_orders, a_hold_for_an_earlier_process_extends_no_lease)
{
    start(702);
    restart_worker();
    submit();
    ASSERT_TRUE(deployment_->last_start(deployment_->worker(0).entry().id));
    run_for(time_ms(9000));
    worker_call late;
    late.order = hold_order{earlier_clock, 0, time_ms(0)};
    EXPECT_EQ(carry_out(late), worker_status::stale_token);
    deployment_->cut_workers = {0};
    run_for(time_ms(20000));
    EXPECT_TRUE(started_everywhere());
}

// Guards against a task that runs twice: its first start order, without a
// reply, is carried out by a later process of the worker after the task has
// been placed again.
TEST_F(late_orders, a_start_for_an_earlier_process_starts_nothing)
{
    start(703);
    submit();
    ASSERT_FALSE(state_of_worker().runs.empty());
    auto const run = state_of_worker().runs.begin()->first;
    restart_worker();
    run_for(time_ms(2000));
    worker_call late;
    late.order = start_order{run, {}, earlier_clock, {}};
    EXPECT_EQ(carry_out(late), worker_status::stale_token);
    run_for(time_ms(2000));
    EXPECT_TRUE(started_everywhere());
}

// Guards against an owner that steps down since a worker refuses an order that
// was meant for an earlier process.
TEST_F(late_orders, a_refused_order_for_an_earlier_process_deposes_no_owner)
{
    start(704);
    submit();
    auto const owner = deployment_->owner();
    auto const revision = owned_shard().ownership.revision;
    constexpr int restarts = 5;
    for (int i = 0; i < restarts; ++i)
    {
        deployment_->late_percent = 50;
        restart_worker();
        deployment_->late_percent = 0;
        run_for(time_ms(8000));
    }
    EXPECT_EQ(deployment_->owner(), owner);
    EXPECT_EQ(owned_shard().ownership.revision, revision);
    EXPECT_EQ(state_of_worker().token, revision + restarts);
    EXPECT_TRUE(state_of_worker().fenced);
}

} // namespace jaydrift::schedule::testing
