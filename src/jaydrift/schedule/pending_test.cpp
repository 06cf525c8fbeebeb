#include "checked_deployment_test.hpp"
#include "sample_work_test.hpp"

#include <jaydrift/schedule/record_log.hpp>
#include <jaydrift/schedule/shard_context.hpp>
#include <jaydrift/schedule/submission_state.hpp>
#include <jaydrift/schedule/submissions.hpp>

#include <gtest/gtest.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <variant>

namespace jaydrift::schedule::testing {

namespace {

constexpr std::size_t daemons = 3;
constexpr int count = 10;

/// Time in which another daemon takes over from an owner that is gone.
constexpr time_ms takeover_time{4000};

/// A submission that has begun is not counted any more after this time, also
/// under a new owner.
constexpr time_ms visible_time{2000};

/// Workers that refuse starts, or do not answer, while the owner changes.
class waiting_deployment : public checked_deployment
{
public:
    explicit waiting_deployment(std::uint64_t seed)
        : checked_deployment(daemons, 4, seed, 1)
    {
        run_until(time_ms(3000));
    }

    void set_accepts_starts(bool accepts)
    {
        for (std::size_t i = 0; i < worker_count(); ++i)
        {
            worker(i).accepts_starts = accepts;
        }
    }

    void submit_all(submission const& work)
    {
        for (auto i = 0; i < count; ++i)
        {
            submit(0, id_of(i), work);
        }
        run_until(now() + time_ms(400));
    }

    void kill_owner()
    {
        auto const killed = *owner();
        kill(killed);
        run_until(now() + takeover_time);
        start(killed);
        run_until(now() + time_ms(1000));
        ASSERT_TRUE(owner());
    }

    /// Has the owner stop and start again.
    void restart_owner()
    {
        auto const stopped = *owner();
        stop(stopped);
        run_until(now() + takeover_time);
        start(stopped);
        run_until(now() + time_ms(1000));
        ASSERT_TRUE(owner());
        ASSERT_NE(*owner(), stopped);
    }

    /// Returns the number of submissions that have not begun, as a daemon that
    /// is not the owner tells it.
    std::uint64_t pending()
    {
        auto const reply = show((*owner() + 1) % daemons, "");
        EXPECT_EQ(reply.result, answer::code::count);
        return reply.pending;
    }
};

submission long_running_work(std::uint32_t tasks)
{
    auto work = chain_of({tasks});
    work.steps[0].long_running = true;
    work.steps[0].demand = {500, 500, 0};
    return work;
}

} // namespace

// Guards against a number of pending submissions that is too small: a new owner
// took the stored run of a task, which is written before its start is ordered,
// for a run that had begun. The worker had refused the start.
TEST(pending, a_refused_start_has_not_begun)
{
    waiting_deployment deployment(951);
    deployment.set_accepts_starts(false);
    deployment.submit_all(chain_of({2}));
    EXPECT_EQ(deployment.pending(), count);
    deployment.kill_owner();
    EXPECT_EQ(deployment.pending(), count);
    EXPECT_EQ(deployment.show(0, id_of(1)).phase, submission_phase::queued);
    deployment.set_accepts_starts(true);
    deployment.run_until(deployment.now() + time_ms(10000));
    EXPECT_EQ(deployment.pending(), 0U);
    EXPECT_EQ(deployment.show(0, id_of(1)).phase, submission_phase::completed);
}

// The same over two changes of the owner, of which the first one is planned.
TEST(pending, a_refused_start_has_not_begun_under_later_owners)
{
    waiting_deployment deployment(952);
    deployment.set_accepts_starts(false);
    deployment.submit_all(chain_of({2}));
    deployment.restart_owner();
    EXPECT_EQ(deployment.pending(), count);
    deployment.kill_owner();
    EXPECT_EQ(deployment.pending(), count);
}

// The same for starts that got no answer and were not carried out.
TEST(pending, a_start_without_an_answer_has_not_begun)
{
    waiting_deployment deployment(953);
    for (std::size_t i = 0; i < deployment.worker_count(); ++i)
    {
        deployment.worker(i).reachable = false;
    }
    deployment.submit_all(chain_of({2}));
    EXPECT_EQ(deployment.pending(), count);
    deployment.kill_owner();
    EXPECT_EQ(deployment.pending(), count);
}

// Guards against a number that is too large: that a submission has begun was
// known to the former owner only, and the worker that could tell is gone.
TEST(pending, work_that_has_begun_stays_so_when_its_worker_is_lost)
{
    waiting_deployment deployment(954);
    for (std::size_t i = 0; i < deployment.worker_count(); ++i)
    {
        deployment.worker(i).interference.emplace();
    }
    deployment.submit_all(long_running_work(2));
    deployment.run_until(deployment.now() + visible_time);
    ASSERT_TRUE(deployment.runs({id_of(1), 0, 0, 0}));
    for (std::size_t i = 0; i < deployment.worker_count(); ++i)
    {
        deployment.crash(i, time_ms(600000));
    }
    deployment.kill_owner();
    EXPECT_EQ(deployment.pending(), 0U);
    EXPECT_EQ(deployment.show(0, id_of(1)).phase, submission_phase::running);
    deployment.restart_owner();
    EXPECT_EQ(deployment.pending(), 0U);
}

// Guards against the same if the worker confirms the start only after the run
// was stored: the record has to be written once more, and not again and again.
TEST(pending, a_start_is_stored_without_another_change)
{
    daemon_state state;
    state.shards.resize(1);
    state.shards[0].ownership.role = owner_role::owner;
    effect_list effects;
    shard_context ctx(context{state, time_ms(1000), effects}, state.shards[0]);
    auto& submission =
        submissions::add(ctx, {id_of(1), "batch", time_ms(0), chain_of({2})});
    submission.record_stored = true;
    submissions::tick(ctx);
    EXPECT_FALSE(submission.dirty);
    submissions::note_start(ctx, submission);
    ctx.now = ctx.now + time_ms(1000);
    submissions::tick(ctx);
    EXPECT_TRUE(submission.dirty);
    ctx.now = ctx.now + visible_time;
    record_log::tick(ctx);
    ASSERT_TRUE(state.shards[0].record_log.in_flight);
    auto const& puts = state.shards[0].record_log.in_flight->puts;
    auto const written =
        std::find_if(puts.begin(), puts.end(), [](auto const& each) {
            return std::holds_alternative<progress_record>(each.second);
        });
    ASSERT_NE(written, puts.end());
    EXPECT_TRUE(std::get<progress_record>(written->second).started);
    submissions::tick(ctx);
    EXPECT_FALSE(submission.dirty);
}

// Guards against a number that is too large after an upgrade: records of an
// earlier release do not tell what has begun.
TEST(pending, work_of_an_earlier_release_has_begun_if_a_worker_lists_it)
{
    waiting_deployment deployment(956);
    for (std::size_t i = 0; i < deployment.worker_count(); ++i)
    {
        deployment.worker(i).interference.emplace();
    }
    deployment.submit_all(long_running_work(1));
    deployment.run_until(deployment.now() + visible_time);
    auto const killed = *deployment.owner();
    deployment.kill(killed);
    for (auto i = 0; i < count; ++i)
    {
        record_key const key{record_kind::progress, id_of(i)};
        auto record =
            std::get<progress_record>(deployment.store.items().at(key).record);
        EXPECT_TRUE(record.started);
        record.started = false;
        deployment.store.put(key, record);
    }
    deployment.run_until(deployment.now() + takeover_time);
    deployment.start(killed);
    deployment.run_until(deployment.now() + time_ms(1000));
    EXPECT_EQ(deployment.pending(), 0U);
}

// A gang has begun as soon as one of its members has, although the others were
// refused.
TEST(pending, a_gang_has_begun_with_its_first_member)
{
    waiting_deployment deployment(955);
    deployment.set_accepts_starts(false);
    deployment.worker(0).accepts_starts = true;
    auto gang = chain_of({4});
    gang.steps[0].gang = true;
    gang.steps[0].demand = {5000, 500, 0};
    deployment.submit(0, id_of(1), gang);
    deployment.run_until(deployment.now() + visible_time);
    EXPECT_EQ(deployment.pending(), 0U);
    deployment.kill_owner();
    EXPECT_EQ(deployment.pending(), 0U);
}

} // namespace jaydrift::schedule::testing
