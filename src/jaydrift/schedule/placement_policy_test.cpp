#include <jaydrift/schedule/placement_policy.hpp>

#include "sample_work_test.hpp"

#include <jaydrift/schedule/event.hpp>
#include <jaydrift/schedule/reduce.hpp>
#include <jaydrift/schedule/shard_context.hpp>
#include <jaydrift/schedule/submissions.hpp>

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdint>
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

    /// Lets time pass without a pass.
    void skip(int milliseconds) { now_ += time_ms(milliseconds); }

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

// Guards against long passes that follow each other without a pause, such as
// those of a daemon with a small share of a core.
TEST(placement_policy, very_long_passes_take_at_most_half_of_the_time)
{
    constexpr int duration_ms = 300;
    constexpr int observed_ms = 6000;
    passing_owner owner;
    auto busy_ms = 0;
    for (auto elapsed_ms = 0; elapsed_ms < observed_ms; ++elapsed_ms)
    {
        owner.shard().placement_due = true;
        if (owner.advance())
        {
            note_duration(owner.shard(), time_ms(duration_ms));
            owner.skip(duration_ms);
            elapsed_ms += duration_ms;
            busy_ms += duration_ms;
        }
    }
    EXPECT_LE(busy_ms, observed_ms / 2 + duration_ms);
}

// Guards against passes over two shards of one daemon that take turns and leave
// no time for events.
TEST(placement_policy, passes_over_two_shards_take_at_most_half_of_the_time)
{
    constexpr std::int64_t duration_ms = 60;
    constexpr std::int64_t observed_ms = 6000;
    constexpr time_ms begin{1000};
    constexpr time_ms second_begins{1030};
    auto state = initial_state({}, begin);
    state.config.emplace();
    state.shards.resize(2);
    state.shards[0].ownership.role = owner_role::owner;
    // Only passes are of interest.
    state.next_tick = begin + time_ms(observed_ms * 2);
    time_ms took{0};
    std::int64_t busy_ms = 0;
    auto now = begin;
    while (now < begin + time_ms(observed_ms))
    {
        if (now >= second_begins)
        {
            state.shards[1].ownership.role = owner_role::owner;
        }
        for (auto& shard : state.shards)
        {
            shard.placement_due = true;
        }
        if (now < next_timer(state))
        {
            now += time_ms(1);
            continue;
        }
        reduce(state, timer_due{now, took}, now);
        auto const passes = std::count_if(
            state.shards.begin(), state.shards.end(),
            [now](auto const& each) { return each.last_pass == now; });
        took = time_ms(duration_ms * passes);
        busy_ms += took.count();
        now += std::max(took, time_ms(1));
    }
    EXPECT_GT(busy_ms, 0);
    EXPECT_LE(busy_ms, observed_ms / 2 + 2 * duration_ms);
}

} // namespace jaydrift::schedule::testing
