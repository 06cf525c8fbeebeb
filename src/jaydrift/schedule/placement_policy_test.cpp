#include <jaydrift/schedule/placement_policy.hpp>

#include "sample_work_test.hpp"

#include <jaydrift/schedule/shard_context.hpp>
#include <jaydrift/schedule/submissions.hpp>

#include <gtest/gtest.h>

#include <optional>
#include <set>

namespace jaydrift::schedule::testing {

using placement_policy::note_duration;

namespace {

/// An owner of one shard with one worker, without anything else than passes.
class passing_owner
{
public:
    passing_owner()
    {
        state_.config.emplace().queues.push_back(
            {"q", "h", "/q/", "svc", 0, 3, 2.0, time_ms(1000)});
        state_.shards.resize(1);
        shard().ownership.role = owner_role::owner;
        auto& worker = shard().workers["w"];
        worker.entry.id = "w";
        worker.entry.service = "svc";
        worker.entry.address = "10.1.0.1:80";
        worker.entry.capacity = {8000, 16000, 0};
        worker.in_fleet_record = true;
        worker.fenced = true;
        worker.clock = time_ms(0);
    }

    shard_state& shard() { return state_.shards[0]; }

    submission_state& submit(submission const& work)
    {
        effect_list effects;
        shard_context ctx(context{state_, now_, effects}, shard());
        auto& result = submissions::add(ctx, {id_of(1), "q", now_, work});
        result.record_stored = true;
        return result;
    }

    /// Advances by 1 ms. Returns whether there was a pass.
    bool advance()
    {
        now_ += time_ms(1);
        effect_list effects;
        shard_context ctx(context{state_, now_, effects}, shard());
        placement_policy::tick(ctx);
        return shard().last_pass == now_;
    }

    /// Advances by some milliseconds. Returns the number of passes.
    int passes_in(int milliseconds)
    {
        auto result = 0;
        for (auto i = 0; i < milliseconds; ++i)
        {
            result += advance() ? 1 : 0;
        }
        return result;
    }

    time_ms now() const { return now_; }

private:
    daemon_state state_;
    time_ms now_{1000};
};

} // namespace

// Guards against passes that follow each other although nothing has changed.
TEST(placement_policy, a_change_leads_to_one_pass_and_a_full_one)
{
    passing_owner owner;
    owner.passes_in(10);
    ASSERT_LT(owner.now() - owner.shard().last_full_pass, time_ms(15));
    owner.shard().placement_due = true;
    EXPECT_EQ(owner.passes_in(90), 2);
    EXPECT_FALSE(owner.shard().placement_due);
}

// Guards against a gang without room that leads to one pass after the other.
TEST(placement_policy, an_incomplete_gang_is_not_a_change)
{
    passing_owner owner;
    auto work = chain_of({9});
    work.steps[0].gang = true;
    owner.submit(work);
    owner.passes_in(100);
    EXPECT_LE(owner.passes_in(1000), 11);
}

// Guards against a task that waits for the next change after its pause.
TEST(placement_policy, a_task_starts_when_its_pause_ends)
{
    passing_owner owner;
    auto& submission = owner.submit(chain_of({1}));
    auto const pause_end = owner.now() + time_ms(20);
    auto& task = submission.occurrences[0].steps[0].tasks[0];
    task.not_before = pause_end;
    while (!task.place && owner.now() < pause_end + time_ms(200))
    {
        owner.advance();
    }
    EXPECT_EQ(owner.now(), pause_end);
}

// Guards against passes that take nearly all of the control thread's time once
// one takes longer than the interval between them: orders, replies and calls
// then wait for seconds.
TEST(placement_policy, passes_take_at_most_half_of_the_time)
{
    constexpr int duration_ms = 60;
    constexpr int observed_ms = 1200;
    passing_owner owner;
    auto passes = 0;
    for (auto left = observed_ms; left > 0; --left)
    {
        owner.shard().placement_due = true;
        if (owner.advance())
        {
            ++passes;
            note_duration(owner.shard(), time_ms(duration_ms));
        }
    }
    EXPECT_GE(passes, 2);
    EXPECT_LE(passes * duration_ms, observed_ms / 2);
}

// Guards against a pause as long as a freeze of the process during a pass.
TEST(placement_policy, a_freeze_during_a_pass_does_not_hold_up_the_next_one)
{
    passing_owner owner;
    while (!owner.advance())
    {
    }
    note_duration(owner.shard(), time_ms(8000));
    owner.shard().placement_due = true;
    EXPECT_GE(owner.passes_in(300), 1);
}

} // namespace jaydrift::schedule::testing
