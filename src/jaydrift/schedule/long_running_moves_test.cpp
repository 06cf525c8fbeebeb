#include <jaydrift/schedule/long_running_moves.hpp>

#include "sample_work_test.hpp"

#include <jaydrift/schedule/placement_policy.hpp>
#include <jaydrift/schedule/shard_context.hpp>
#include <jaydrift/schedule/submissions.hpp>
#include <jaydrift/schedule/workers.hpp>

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace jaydrift::schedule::testing {

namespace {

constexpr resources worker_capacity{64000, 250000, 0};
constexpr resources small_demand{6000, 10000, 0};
constexpr resources filling_demand{46000, 10000, 0};
constexpr resources large_demand{13000, 20000, 0};

/// An owner of two workers that have 12 processors left each, beside a
/// long-running task that fills most of them and a small one. A large task
/// fits where the small one moves away.
class scattered_owner
{
public:
    /// The tasks began to run `age` ago.
    explicit scattered_owner(time_ms age, std::uint32_t max_unavailable = 0)
    {
        state_.config.emplace().queues.push_back(
            {"queue", "h", "/q/", "svc", 0, 3, 2.0, time_ms(1000)});
        state_.shards.resize(1);
        shard().ownership.role = owner_role::owner;
        for (auto const* const id : {"w0", "w1"})
        {
            auto& worker = shard().workers[id];
            worker.entry.id = id;
            worker.entry.service = "svc";
            worker.entry.address = "10.1.0.1:80";
            worker.entry.capacity = worker_capacity;
            worker.in_fleet_record = true;
            worker.fenced = true;
            worker.clock = time_ms(0);
        }
        run(1, filling_demand, 0, age);
        run(2, small_demand, max_unavailable, age);
    }

    /// Submits a task that waits for `waiting`.
    submission_state& submit_large()
    {
        auto work = chain_of({1});
        work.steps[0].long_running = true;
        work.steps[0].demand = large_demand;
        return submit(3, work);
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

    /// Lets the runs that were told to stop end.
    void end_stopping()
    {
        effect_list effects;
        shard_context ctx(context{state_, now_, effects}, shard());
        for (auto& [name, worker] : shard().workers)
        {
            for (auto const& id : stopping_on(worker))
            {
                workers::remove_run(worker, id);
                submissions::requeue(
                    ctx, *submissions::find(ctx, id.task.submission), id.task);
            }
        }
    }

    std::size_t stopping()
    {
        std::size_t count = 0;
        for (auto const& [name, worker] : shard().workers)
        {
            count += stopping_on(worker).size();
        }
        return count;
    }

    submission_state& small() { return shard().submissions.at(id_of(2)); }

    /// Takes the first task of the small ones away from its worker for good.
    void lose_first_small()
    {
        auto& submission = small();
        auto const place = *submission.occurrences[0].steps[0].tasks[0].place;
        auto& worker = shard().workers.at(place.worker);
        task_id const id{submission.id, 0, 0, 0};
        worker.runs.at({id, place.run}).progress_percent = 0;
    }

private:
    shard_state& shard() { return state_.shards[0]; }

    static std::vector<run_id> stopping_on(worker_state const& worker)
    {
        std::vector<run_id> result;
        for (auto const& [id, run] : worker.runs)
        {
            if (run.phase == run_phase::stopping)
            {
                result.push_back(id);
            }
        }
        return result;
    }

    submission_state& submit(int number, submission const& work)
    {
        effect_list effects;
        shard_context ctx(context{state_, now_, effects}, shard());
        auto& result =
            submissions::add(ctx, {id_of(number), "queue", now_, work});
        result.record_stored = true;
        shard().placement_due = true;
        return result;
    }

    /// Starts a task of this demand on each worker, which is at work.
    void run(int number, resources demand, std::uint32_t max_unavailable,
             time_ms age)
    {
        auto work = chain_of({2});
        work.steps[0].long_running = true;
        work.steps[0].demand = demand;
        work.steps[0].max_unavailable = max_unavailable;
        work.steps[0].max_per_worker = number == 1 ? 1 : 0;
        auto& added = submit(number, work);
        for (std::uint32_t i = 0; i < 2; ++i)
        {
            task_id const id{added.id, 0, 0, i};
            auto& task = *submissions::find_task(added, id);
            task.place = placement{i == 0 ? "w0" : "w1", 1};
            task.last_run = 1;
            submissions::placed(added, id);
            auto state = workers::reservation(added, 0);
            state.phase = run_phase::running;
            state.started_at = now_ - age;
            state.progress_percent = 100;
            workers::add_run(shard().workers.at(task.place->worker), {id, 1},
                             state);
        }
    }

    daemon_state state_;
    time_ms now_{100000};
};

bool has_place(submission_state const& submission, std::size_t index = 0)
{
    return submission.occurrences[0].steps[0].tasks[index].place.has_value();
}

constexpr time_ms long_ago{60000};
constexpr int long_wait_ms = 1500;

} // namespace

// Guards against a task that waits for ever although the free processors of two
// workers are enough, and against a task that loses its place for good in the
// move.
TEST(long_running_moves, a_small_task_makes_room_for_a_large_one)
{
    scattered_owner owner(long_ago);
    auto const& large = owner.submit_large();
    owner.advance(long_wait_ms);
    EXPECT_EQ(owner.stopping(), 1U);
    owner.end_stopping();
    owner.advance(200);
    EXPECT_TRUE(has_place(large));
    EXPECT_TRUE(has_place(owner.small(), 0));
    EXPECT_TRUE(has_place(owner.small(), 1));
    owner.advance(long_wait_ms);
    EXPECT_EQ(owner.stopping(), 0U);
}

// Guards against moves for a task that has just become ready.
TEST(long_running_moves, nothing_moves_at_once)
{
    scattered_owner owner(long_ago);
    owner.submit_large();
    owner.advance(800);
    EXPECT_EQ(owner.stopping(), 0U);
}

// Guards against tasks that push each other to and fro.
TEST(long_running_moves, a_task_that_has_just_started_stays)
{
    scattered_owner owner(time_ms(1000));
    owner.submit_large();
    owner.advance(long_wait_ms);
    EXPECT_EQ(owner.stopping(), 0U);
}

// Guards against a second task of a step that is away while the step allows one
// only.
TEST(long_running_moves, a_step_with_a_task_away_keeps_the_others)
{
    scattered_owner owner(long_ago, 1);
    owner.lose_first_small();
    owner.submit_large();
    owner.advance(long_wait_ms);
    EXPECT_EQ(owner.stopping(), 0U);
}

// The same step without a task away.
TEST(long_running_moves, a_step_that_is_at_work_spares_a_task)
{
    scattered_owner owner(long_ago, 1);
    owner.submit_large();
    owner.advance(long_wait_ms);
    EXPECT_EQ(owner.stopping(), 1U);
}

namespace {

/// An owner of two workers. The first one has three small long-running tasks at
/// work, the second one has the given capacity and no task.
class clearing_owner
{
public:
    explicit clearing_owner(resources capacity)
    {
        constexpr time_ms age{20000};
        state_.shards.resize(1);
        shard().ownership.role = owner_role::owner;
        add_worker("w0", worker_capacity);
        add_worker("w1", capacity);
        auto work = chain_of({3});
        work.steps[0].long_running = true;
        work.steps[0].demand = small_demand;
        with_context([&](shard_context& ctx) {
            auto& added =
                submissions::add(ctx, {id_of(1), "queue", now_, work});
            added.terms.service = "svc";
            for (std::uint32_t i = 0; i < 3; ++i)
            {
                task_id const id{added.id, 0, 0, i};
                submissions::find_task(added, id)->place = placement{"w0", 1};
                submissions::placed(added, id);
                auto run = workers::reservation(added, 0);
                run.phase = run_phase::running;
                run.progress_percent = 100;
                run.started_at = now_ - age;
                workers::add_run(shard().workers.at("w0"), {id, 1},
                                 std::move(run));
            }
        });
    }

    bool clear()
    {
        auto result = false;
        with_context([&](shard_context& ctx) {
            result = long_running_moves::clear(ctx, shard().workers.at("w0"));
        });
        return result;
    }

    std::size_t stopping()
    {
        auto const& runs = shard().workers.at("w0").runs;
        return static_cast<std::size_t>(
            std::count_if(runs.begin(), runs.end(), [](auto const& each) {
                return each.second.phase == run_phase::stopping;
            }));
    }

private:
    shard_state& shard() { return state_.shards[0]; }

    void add_worker(std::string const& id, resources capacity)
    {
        auto& worker = shard().workers[id];
        worker.entry.id = id;
        worker.entry.service = "svc";
        worker.entry.address = "10.1.0.1:80";
        worker.entry.capacity = capacity;
        worker.in_fleet_record = true;
        worker.fenced = true;
        worker.clock = time_ms(0);
    }

    template<class Action>
    void with_context(Action action)
    {
        effect_list effects;
        shard_context ctx(context{state_, now_, effects}, shard());
        action(ctx);
    }

    daemon_state state_;
    time_ms now_{30000};
};

} // namespace

// Guards against a worker that never leaves its shard, although tasks of
// another one wait for it, since it has more long-running tasks than there are
// other workers. Found by the soak (seed 9001 --shards 2 --workers 12).
TEST(long_running_moves, a_worker_is_cleared_into_the_room_of_a_single_one)
{
    clearing_owner owner({18000, 30000, 0});
    EXPECT_TRUE(owner.clear());
    EXPECT_EQ(owner.stopping(), 3U);
}

// Guards against tasks that stop although only some of them find a place.
TEST(long_running_moves, a_worker_is_not_cleared_in_part)
{
    clearing_owner owner({17000, 30000, 0});
    EXPECT_FALSE(owner.clear());
    EXPECT_EQ(owner.stopping(), 0U);
}

} // namespace jaydrift::schedule::testing
