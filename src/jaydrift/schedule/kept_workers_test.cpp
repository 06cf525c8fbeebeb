#include <jaydrift/schedule/kept_workers.hpp>

#include "sample_work_test.hpp"

#include <jaydrift/schedule/placement_policy.hpp>
#include <jaydrift/schedule/shard_context.hpp>
#include <jaydrift/schedule/submissions.hpp>
#include <jaydrift/schedule/workers.hpp>

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace jaydrift::schedule::testing {

namespace {

constexpr resources worker_capacity{8000, 16000, 0};
constexpr resources filling_demand{6000, 1000, 0};
constexpr resources large_demand{4000, 1000, 0};
constexpr resources small_demand{1000, 1000, 0};

/// Longer than the wait before a worker is kept.
constexpr int long_wait_ms = 600;

/// An owner of one shard whose workers each run an urgent task that leaves no
/// room for `large_demand`. Does nothing else than passes.
class crowded_owner
{
public:
    explicit crowded_owner(int workers)
    {
        auto& queues = state_.config.emplace().queues;
        queues.push_back(
            {"first", "h", "/first/", "svc", 0, 3, 2.0, time_ms(1000)});
        queues.push_back(
            {"later", "h", "/later/", "svc", 1, 3, 2.0, time_ms(1000)});
        state_.shards.resize(1);
        shard().ownership.role = owner_role::owner;
        for (auto i = 0; i < workers; ++i)
        {
            auto const id = "w" + std::to_string(i);
            auto& worker = shard().workers[id];
            worker.entry.id = id;
            worker.entry.service = "svc";
            worker.entry.address = "10.1.0." + std::to_string(i + 1) + ":80";
            worker.entry.capacity = worker_capacity;
            worker.in_fleet_record = true;
            worker.fenced = true;
            worker.clock = time_ms(0);
            run_state run;
            run.demand = filling_demand;
            workers::add_run(worker, filling_run(id), run);
        }
    }

    shard_state& shard() { return state_.shards[0]; }
    worker_state& worker(std::string const& id)
    {
        return shard().workers.at(id);
    }

    /// Ends the urgent task that fills the worker.
    void empty(std::string const& id)
    {
        workers::remove_run(worker(id), filling_run(id));
        shard().placement_due = true;
    }

    submission_state& submit(int number, std::string const& queue,
                             submission const& work)
    {
        effect_list effects;
        shard_context ctx(context{state_, now_, effects}, shard());
        auto& result =
            submissions::add(ctx, {id_of(number), queue, now_, work});
        result.record_stored = true;
        shard().placement_due = true;
        return result;
    }

    /// Submits long-running tasks to the later queue.
    submission_state& submit_large(int number, std::uint32_t count)
    {
        auto work = chain_of({count});
        work.steps[0].long_running = true;
        work.steps[0].demand = large_demand;
        return submit(number, "later", work);
    }

    void cancel(submission_state& submission)
    {
        effect_list effects;
        shard_context ctx(context{state_, now_, effects}, shard());
        submissions::cancel(ctx, submission);
    }

    void advance(int milliseconds)
    {
        for (auto i = 0; i < milliseconds; ++i)
        {
            now_ += time_ms(1);
            effect_list effects;
            shard_context ctx(context{state_, now_, effects}, shard());
            placement_policy::tick(ctx);
        }
    }

    /// Returns the IDs of the workers that are kept.
    std::vector<std::string> kept()
    {
        std::vector<std::string> result;
        for (auto const& [id, worker] : shard().workers)
        {
            if (worker.kept_for)
            {
                result.push_back(id);
            }
        }
        return result;
    }

private:
    static run_id filling_run(std::string const& worker)
    {
        return {{"filling-" + worker, 0, 0, 0}, 1};
    }

    daemon_state state_;
    time_ms now_{1000};
};

task_state const& task_of(submission_state const& submission,
                          std::size_t index = 0)
{
    return submission.occurrences[0].steps[0].tasks[index];
}

using names = std::vector<std::string>;

} // namespace

// Guards against a worker that is kept for a short time only, so that urgent
// tasks take its room in between.
TEST(kept_workers, a_worker_stays_kept_while_its_task_waits)
{
    crowded_owner owner(8);
    owner.submit_large(1, 1);
    owner.advance(200);
    EXPECT_EQ(owner.kept(), names());
    owner.advance(long_wait_ms);
    auto const kept = owner.kept();
    ASSERT_EQ(kept.size(), 1U);
    // Another worker has more free processors from now on.
    auto const& other = kept[0] == "w5" ? "w6" : "w5";
    run_state run;
    run.demand = small_demand;
    workers::add_run(owner.worker(kept[0]), {{id_of(9), 0, 0, 0}, 1}, run);
    ASSERT_LT(owner.worker(other).used.millicores,
              owner.worker(kept[0]).used.millicores);
    for (auto i = 0; i < long_wait_ms; ++i)
    {
        owner.advance(1);
        EXPECT_EQ(owner.kept(), kept);
    }
}

// Guards against workers that stay kept for a task that has found a place
// elsewhere.
TEST(kept_workers, a_worker_is_released_when_its_task_has_a_place)
{
    crowded_owner owner(8);
    auto const& submission = owner.submit_large(1, 1);
    owner.advance(long_wait_ms);
    auto const kept = owner.kept();
    ASSERT_EQ(kept.size(), 1U);
    std::string const other = kept[0] == "w5" ? "w6" : "w5";
    owner.empty(other);
    owner.advance(long_wait_ms);
    ASSERT_TRUE(task_of(submission).place);
    EXPECT_EQ(task_of(submission).place->worker, other);
    EXPECT_EQ(owner.kept(), names());
}

// Guards against workers that stay kept for a submission that was cancelled.
TEST(kept_workers, a_worker_is_released_when_its_task_is_cancelled)
{
    crowded_owner owner(8);
    auto& submission = owner.submit_large(1, 1);
    owner.advance(long_wait_ms);
    ASSERT_EQ(owner.kept().size(), 1U);
    owner.cancel(submission);
    owner.advance(long_wait_ms);
    EXPECT_EQ(owner.kept(), names());
}

// Guards against a task that waits for a worker which can no longer take it.
TEST(kept_workers, another_worker_is_kept_if_one_drains_or_fills)
{
    crowded_owner owner(8);
    owner.submit_large(1, 1);
    owner.advance(long_wait_ms);
    auto const first = owner.kept();
    ASSERT_EQ(first.size(), 1U);
    owner.worker(first[0]).entry.draining = true;
    owner.advance(long_wait_ms);
    auto const second = owner.kept();
    ASSERT_EQ(second.size(), 1U);
    EXPECT_NE(second, first);
    run_state run;
    run.demand = filling_demand;
    run.long_running = true;
    workers::add_run(owner.worker(second[0]), {{id_of(9), 0, 0, 0}, 1}, run);
    owner.advance(long_wait_ms);
    auto const third = owner.kept();
    ASSERT_EQ(third.size(), 1U);
    EXPECT_NE(third, second);
    EXPECT_NE(third, first);
}

// Guards against waiting tasks that take most workers from urgent ones, and
// against two workers that are kept for one task.
TEST(kept_workers, one_in_eight_is_kept_at_most)
{
    crowded_owner owner(24);
    owner.submit_large(1, 2);
    owner.submit_large(2, 20);
    owner.submit_large(3, 20);
    for (auto i = 0; i < long_wait_ms; ++i)
    {
        owner.advance(1);
        ASSERT_LE(owner.kept().size(), 3U);
    }
    EXPECT_EQ(owner.kept().size(), 3U);
    std::set<task_id> tasks;
    for (auto const& id : owner.kept())
    {
        tasks.insert(*owner.worker(id).kept_for);
    }
    EXPECT_EQ(tasks.size(), 3U);
}

// Guards against urgent tasks of an earlier queue that take the room of a kept
// worker, and against a worker that urgent tasks never get back.
TEST(kept_workers, urgent_tasks_of_any_queue_keep_off_until_the_release)
{
    crowded_owner owner(1);
    auto& large = owner.submit_large(1, 1);
    owner.advance(long_wait_ms);
    ASSERT_EQ(owner.kept().size(), 1U);
    auto work = chain_of({1});
    work.steps[0].demand = small_demand;
    auto const& urgent = owner.submit(2, "first", work);
    owner.advance(long_wait_ms);
    EXPECT_FALSE(task_of(urgent).place);
    EXPECT_EQ(urgent.occurrences[0].steps[0].reason, wait_reason::kept_free);
    owner.empty("w0");
    owner.advance(long_wait_ms);
    EXPECT_TRUE(task_of(large).place);
    EXPECT_TRUE(task_of(urgent).place);
}

// Guards against tasks of one step that wait for each other's workers: the
// first one that is asked for takes the room that is there.
TEST(kept_workers, tasks_of_a_step_exchange_their_workers)
{
    crowded_owner owner(16);
    auto const& submission = owner.submit_large(1, 2);
    owner.advance(long_wait_ms);
    auto const kept = owner.kept();
    ASSERT_EQ(kept.size(), 2U);
    auto const of_second =
        owner.worker(kept[0]).kept_for->index == 1 ? kept[0] : kept[1];
    auto const of_first = of_second == kept[0] ? kept[1] : kept[0];
    owner.empty(of_second);
    owner.advance(20);
    ASSERT_TRUE(task_of(submission, 0).place);
    EXPECT_EQ(task_of(submission, 0).place->worker, of_second);
    ASSERT_FALSE(task_of(submission, 1).place);
    EXPECT_EQ(owner.kept(), names{of_first});
    EXPECT_EQ(owner.worker(of_first).kept_for->index, 1U);
}

// Guards against memory that is taken back for an urgent task on a worker that
// is kept from it, which would go on for as long as the worker is kept.
TEST(kept_workers, no_memory_is_taken_back_there_for_urgent_tasks)
{
    crowded_owner owner(2);
    for (auto const* const id : {"w0", "w1"})
    {
        run_state run;
        run.phase = run_phase::running;
        run.opportunistic = true;
        run.pace_percent = 0;
        run.demand = {1000, 10000, 0};
        workers::add_run(owner.worker(id), {{id_of(9), 0, 0, 0}, 1}, run);
    }
    owner.submit_large(1, 1);
    owner.advance(long_wait_ms);
    auto const kept = owner.kept();
    ASSERT_EQ(kept.size(), 1U);
    auto work = chain_of({1});
    work.steps[0].demand = {1000, 8000, 0};
    owner.submit(2, "first", work);
    owner.advance(20);
    for (auto const* const id : {"w0", "w1"})
    {
        auto const& run = owner.worker(id).runs.at({{id_of(9), 0, 0, 0}, 1});
        EXPECT_EQ(run.phase == run_phase::stopping, id != kept[0]) << id;
    }
}

// Guards against a service without room for urgent work: the limit counts the
// workers of all services, but all that are kept may be of one.
TEST(kept_workers, a_small_service_keeps_room_for_urgent_tasks)
{
    constexpr int workers = 32;
    constexpr int of_service = 4;
    crowded_owner owner(workers);
    for (auto i = of_service; i < workers; ++i)
    {
        owner.worker("w" + std::to_string(i)).entry.service = "other";
    }
    owner.submit_large(1, of_service);
    owner.advance(long_wait_ms);
    auto work = chain_of({1});
    work.steps[0].demand = small_demand;
    auto const& urgent = owner.submit(2, "first", work);
    owner.advance(long_wait_ms);
    EXPECT_TRUE(task_of(urgent).place);
}

} // namespace jaydrift::schedule::testing
