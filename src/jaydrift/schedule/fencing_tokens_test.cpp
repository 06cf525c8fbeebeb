#include <jaydrift/schedule/fencing_tokens.hpp>
#include <jaydrift/schedule/shard_context.hpp>
#include <jaydrift/schedule/worker_entry.hpp>
#include <jaydrift/schedule/worker_replied.hpp>
#include <jaydrift/schedule/worker_replies.hpp>
#include <jaydrift/schedule/workers.hpp>

#include <variant>

#include <gtest/gtest.h>

namespace jaydrift::schedule {

namespace {

constexpr char const* id = "i-1";
constexpr std::uint64_t revision = 100;

/// A shard that this daemon owns, with one worker that answers.
class fencing : public ::testing::Test
{
protected:
    fencing()
    {
        state_.shards.resize(1);
        shard().ownership.role = owner_role::owner;
        shard().ownership.revision = revision;
        entry_.id = id;
        entry_.address = "10.0.0.1:80";
        entry_.process_started_at = time_ms(1);
        change_entry();
        tick();
        answer_hold(time_ms(50000), entry_.process_started_at);
        tick();
    }

    shard_state& shard() { return state_.shards[0]; }
    worker_state& worker() { return shard().workers.at(id); }

    shard_context context()
    {
        effects_.clear();
        return {schedule::context{state_, now_, effects_}, shard()};
    }

    void change_entry()
    {
        auto ctx = context();
        workers::entry_changed(ctx, entry_);
    }

    void restart()
    {
        entry_.process_started_at += time_ms(1);
        change_entry();
    }

    void tick()
    {
        now_ += time_ms(1);
        auto ctx = context();
        workers::tick(ctx);
    }

    std::uint64_t token() { return fencing_tokens::of(context(), worker()); }

    void note_write(std::uint64_t written)
    {
        auto ctx = context();
        fencing_tokens::note_write(ctx, written);
    }

    /// Hands over the reply to an order.
    void reply(std::uint64_t call, worker_status status,
               std::optional<time_ms> clock,
               std::optional<time_ms> process_started_at = {})
    {
        now_ += time_ms(1);
        worker_replied answer;
        answer.call = call;
        answer.status = status;
        answer.clock = clock;
        answer.process_started_at = process_started_at;
        auto ctx = context();
        worker_replies::received(ctx, answer);
    }

    void answer_hold(time_ms clock, time_ms process_started_at)
    {
        ASSERT_TRUE(worker().hold_in_flight);
        reply(*worker().hold_in_flight, worker_status::ok, clock,
              process_started_at);
    }

    /// Orders a stop, as an order that is no hold order; returns its number.
    std::uint64_t order_stop()
    {
        run_id const run{{"00000000000000a1", 0, 0, 0}, 1};
        auto ctx = context();
        workers::add_run(worker(), run, {});
        workers::stop(ctx, worker(), run);
        return state_.next_worker_call - 1;
    }

    daemon_state state_;
    effect_list effects_;
    time_ms now_{10000};
    worker_entry entry_;
};

} // namespace

// Guards against a new process of a worker that takes orders which were meant
// for the earlier one.
TEST_F(fencing, each_process_of_a_worker_has_a_higher_token)
{
    EXPECT_EQ(token(), revision);
    note_write(revision + 10);
    restart();
    EXPECT_EQ(token(), revision + 1);
    EXPECT_FALSE(worker().fenced);
    tick();
    answer_hold(time_ms(10), entry_.process_started_at);
    EXPECT_TRUE(worker().fenced);
}

// Guards against a token that a later owner cannot exceed: the revision of its
// owner record is higher than that of any write of this owner, but not than
// other numbers.
TEST_F(fencing, a_token_never_exceeds_the_last_write_of_the_owner)
{
    restart();
    EXPECT_EQ(token(), revision);
    EXPECT_TRUE(worker().token_due);
    worker().hold_in_flight.reset();
    tick();
    EXPECT_FALSE(worker().hold_in_flight);
    note_write(revision + 1);
    tick();
    EXPECT_EQ(token(), revision + 1);
    EXPECT_TRUE(worker().hold_in_flight);
}

// Guards against a token above the revision of the assignment with which the
// owner gives a worker away.
TEST_F(fencing, no_write_during_a_transfer_allows_higher_tokens)
{
    shard().transfer.emplace();
    note_write(revision + 10);
    restart();
    EXPECT_TRUE(worker().token_due);
}

// Guards against a process that is taken to be fenced by its reply to an order
// that was meant for an earlier one.
TEST_F(fencing, a_reply_to_an_order_for_an_earlier_process_fences_no_process)
{
    note_write(revision + 10);
    answer_hold(time_ms(10), entry_.process_started_at + time_ms(1));
    EXPECT_FALSE(worker().fenced);
    EXPECT_EQ(token(), revision + 1);
    tick();
    answer_hold(time_ms(20), entry_.process_started_at + time_ms(1));
    EXPECT_TRUE(worker().fenced);
}

// Guards against an owner that steps down since a worker refuses an order that
// was meant for an earlier process, and against one that stays although it is
// shut out.
TEST_F(fencing, only_a_refusal_of_the_present_token_deposes_the_owner)
{
    note_write(revision + 10);
    auto const earlier = order_stop();
    restart();
    reply(earlier, worker_status::stale_token, time_ms(10));
    EXPECT_EQ(shard().ownership.role, owner_role::owner);
    tick();
    reply(*worker().hold_in_flight, worker_status::stale_token, time_ms(10));
    EXPECT_EQ(shard().ownership.role, owner_role::follower);
}

// Guards against a worker that is forgotten and comes back as a new process
// with the token of the earlier one.
TEST_F(fencing, a_worker_that_was_forgotten_has_a_higher_token)
{
    note_write(revision + 10);
    restart();
    {
        auto ctx = context();
        workers::left_shard(ctx, id);
    }
    ASSERT_FALSE(shard().workers.contains(id));
    change_entry();
    EXPECT_EQ(token(), revision + 2);
}

} // namespace jaydrift::schedule
