#include <jaydrift/schedule/assignments.hpp>
#include <jaydrift/schedule/fencing_tokens.hpp>
#include <jaydrift/schedule/recovery.hpp>
#include <jaydrift/schedule/shard_context.hpp>
#include <jaydrift/schedule/submission_record.hpp>
#include <jaydrift/schedule/submissions.hpp>
#include <jaydrift/schedule/worker_entry.hpp>
#include <jaydrift/schedule/worker_replied.hpp>
#include <jaydrift/schedule/worker_replies.hpp>
#include <jaydrift/schedule/workers.hpp>

#include <variant>

#include <gtest/gtest.h>

namespace jaydrift::schedule {

namespace {

constexpr char const* id = "i-1";
constexpr char const* submission_id = "00000000000000a1";
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
        run_id const run{{submission_id, 0, 0, 0}, state_.next_worker_call};
        auto ctx = context();
        workers::add_run(worker(), run, {});
        workers::stop(ctx, worker(), run);
        return state_.next_worker_call - 1;
    }

    /// Orders a start; returns its number.
    std::uint64_t order_start()
    {
        auto ctx = context();
        auto const id = ctx.state.next_worker_call;
        submission work;
        work.steps.resize(1);
        submission_record record;
        record.id = submission_id;
        record.work = work;
        submissions::add(ctx, record);
        run_id const run{{submission_id, 0, 0, 0}, id};
        workers::add_run(worker(), run, {});
        workers::start(ctx, worker(), run);
        return id;
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
// owner gives a worker away, and against a worker that gets no orders after a
// transfer that came to nothing.
TEST_F(fencing, no_token_rises_while_its_worker_is_given_away)
{
    shard().transfer.emplace();
    shard().transfer->worker = id;
    note_write(revision + 10);
    restart();
    EXPECT_TRUE(worker().token_due);
    tick();
    EXPECT_EQ(token(), revision);
    shard().transfer.reset();
    tick();
    EXPECT_EQ(token(), revision + 1);
    EXPECT_FALSE(worker().token_due);
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

// Guards against an owner that steps down because a worker refuses an order
// that was meant for an earlier process, and against one that stays although it
// is shut out.
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

// Guards against orders with leases on the clock of a process that is gone: the
// reply to the first order that the next one takes shows that its clock has
// started again.
TEST_F(fencing, a_lower_clock_in_a_reply_shows_a_new_process)
{
    note_write(revision + 10);
    reply(order_stop(), worker_status::ok, time_ms(30));
    EXPECT_FALSE(worker().fenced);
    EXPECT_EQ(token(), revision + 1);
    tick();
    entry_.process_started_at += time_ms(1);
    answer_hold(time_ms(40), entry_.process_started_at);
    EXPECT_TRUE(worker().fenced);
    change_entry();
    EXPECT_TRUE(worker().fenced);
}

// Guards against a new process that is seen where replies overtake each other.
TEST_F(fencing, a_reply_that_was_overtaken_shows_no_new_process)
{
    auto const first = order_stop();
    auto const second = order_stop();
    reply(second, worker_status::ok, time_ms(50030));
    reply(first, worker_status::ok, time_ms(50010));
    EXPECT_TRUE(worker().fenced);
}

// Guards against a wait for leases that begins when the owner learns of a new
// process, while that one still takes an order for the earlier process.
TEST_F(fencing, an_order_for_an_earlier_process_prolongs_the_wait_for_leases)
{
    note_write(revision + 10);
    auto const longest = workers::longest_lease(state_);
    auto const started = order_start();
    auto const lost = order_start();
    auto const refused = order_start();
    restart();
    EXPECT_EQ(worker().runs_gone_at, now_ + longest);
    now_ += time_ms(300);
    // The lease holds although the start is refused.
    reply(started, worker_status::old_run, time_ms(10));
    EXPECT_EQ(worker().runs_gone_at, now_ + longest);
    now_ += time_ms(700);
    reply(lost, worker_status::lost, {});
    EXPECT_EQ(worker().runs_gone_at, now_ + longest);
    now_ += time_ms(100);
    reply(refused, worker_status::stale_token, time_ms(10));
    EXPECT_LT(worker().runs_gone_at, now_ + longest);
}

// Guards against a task that runs twice: its start reaches a process that the
// owner does not know of, which takes the lease for the longest one, and the
// worker is cut off before it lists the run.
TEST_F(fencing, a_run_that_is_not_listed_may_be_in_a_later_process)
{
    state_.options.max_lease = time_ms(10000);
    order_start();
    run_id const listed{{submission_id, 0, 0, 0}, 1};
    run_state known;
    known.listed = true;
    {
        auto ctx = context();
        workers::add_run(worker(), listed, known);
    }
    worker().lease_until = *worker().clock + time_ms(5000);
    worker().unanswered_orders = 1;
    worker().unanswered_sent_at = now_;
    auto const granted = worker().lease_order_at;
    now_ += time_ms(5500);
    tick();
    EXPECT_FALSE(worker().runs.contains(listed));
    EXPECT_EQ(worker().runs.size(), 1U);
    now_ = granted + workers::longest_lease(state_) - time_ms(2);
    tick();
    EXPECT_EQ(worker().runs.size(), 1U);
    tick();
    EXPECT_TRUE(worker().runs.empty());
}

// Guards against a task that runs twice after a change of the owner: a start of
// the earlier owner reaches the next process of a worker, which the new owner
// takes to run nothing since its entry tells of a restart.
TEST_F(fencing, a_restart_does_not_account_for_the_runs_of_an_earlier_owner)
{
    state_.options.max_lease = time_ms(10000);
    worker().fenced = false;
    worker().unaccounted = true;
    shard().ownership.unaccounted_until = now_ + time_ms(11000);
    note_write(revision + 10);
    restart();
    EXPECT_TRUE(recovery::any_worker_unaccounted(context()));
    tick();
    answer_hold(time_ms(10), entry_.process_started_at);
    EXPECT_FALSE(recovery::any_worker_unaccounted(context()));
}

// Guards against the same with a process that answers before its entry is seen:
// its reply to the first order does not fence it.
TEST_F(fencing, a_reply_that_fences_nothing_does_not_account_for_runs)
{
    state_.options.max_lease = time_ms(10000);
    worker().fenced = false;
    worker().unaccounted = true;
    shard().ownership.unaccounted_until = now_ + time_ms(11000);
    note_write(revision + 10);
    answer_hold(time_ms(10), entry_.process_started_at + time_ms(1));
    EXPECT_FALSE(worker().fenced);
    EXPECT_TRUE(recovery::any_worker_unaccounted(context()));
}

// Guards against the same with a start that reaches the later process at the
// end of its time limit.
TEST_F(fencing,
       a_run_that_is_not_listed_is_waited_for_from_the_end_of_its_order)
{
    state_.options.max_lease = time_ms(10000);
    auto const call = order_start();
    worker().lease_until = *worker().clock + time_ms(5000);
    now_ += time_ms(998);
    reply(call, worker_status::lost, {});
    auto const ended = now_;
    now_ = ended + time_ms(9900);
    tick();
    EXPECT_EQ(worker().runs.size(), 1U);
    now_ = ended + workers::longest_lease(state_);
    tick();
    EXPECT_TRUE(worker().runs.empty());
}

// Guards against a wait that the orders for an earlier process do not prolong
// while no number is free for the token of the present one.
TEST_F(fencing, orders_for_an_earlier_process_are_known_while_a_token_is_due)
{
    auto const longest = workers::longest_lease(state_);
    auto const lost = order_start();
    auto const late = order_stop();
    restart();
    ASSERT_TRUE(worker().token_due);
    now_ += time_ms(900);
    reply(lost, worker_status::lost, {});
    EXPECT_EQ(worker().runs_gone_at, now_ + longest);
    auto const gone = worker().runs_gone_at;
    reply(late, worker_status::ok, time_ms(31));
    EXPECT_EQ(worker().runs_gone_at, gone);
}

// Guards against leases on the clock of an earlier process: its reply comes
// after the present one has answered, which needed no higher token.
TEST_F(fencing, the_clock_of_an_earlier_process_is_passed_over)
{
    worker().lease_granted = false;
    auto const stop = order_stop();
    restart();
    worker().hold_in_flight.reset();
    tick();
    answer_hold(time_ms(20), entry_.process_started_at);
    ASSERT_TRUE(worker().fenced);
    reply(stop, worker_status::ok, time_ms(50020));
    EXPECT_EQ(worker().clock, time_ms(20));
}

// Guards against a run that goes on although it was told to stop: an earlier
// process has confirmed the stop, and the present one has started the run.
TEST_F(fencing, a_stop_that_an_earlier_process_confirmed_is_repeated)
{
    note_write(revision + 10);
    auto const stop = order_stop();
    restart();
    reply(stop, worker_status::ok, time_ms(60000));
    auto const& run = worker().runs.begin()->second;
    EXPECT_FALSE(run.stop_confirmed_at);
    EXPECT_FALSE(run.stop_in_flight);
}

// Guards against a start that is given up by the reply to a hold order with a
// lower token than its own, which another assignment of the worker has raised.
TEST_F(fencing, a_reply_to_a_lower_token_drops_no_start)
{
    ASSERT_TRUE(worker().hold_in_flight);
    {
        auto ctx = context();
        assignments::observe(ctx, {id, 0, revision}, revision + 5);
    }
    EXPECT_EQ(token(), revision + 5);
    order_start();
    answer_hold(time_ms(50010), entry_.process_started_at);
    EXPECT_EQ(worker().runs.size(), 1U);
}

// Guards against a worker that is taken to have started again since something
// else has answered for it.
TEST_F(fencing, a_reply_of_an_unavailable_worker_shows_no_new_process)
{
    reply(order_stop(), worker_status::unavailable, time_ms(0));
    EXPECT_TRUE(worker().fenced);
}

// Guards against a new process that takes orders for the earlier one for as
// long as the first order to fence it has no reply.
TEST_F(fencing, an_order_to_fence_a_new_process_is_repeated)
{
    note_write(revision + 10);
    restart();
    tick();
    ASSERT_TRUE(worker().hold_in_flight);
    auto const first = *worker().hold_in_flight;
    now_ += time_ms(100);
    tick();
    EXPECT_EQ(worker().hold_in_flight, first);
    now_ += time_ms(100);
    tick();
    EXPECT_GT(*worker().hold_in_flight, first);
    reply(first, worker_status::ok, time_ms(300), entry_.process_started_at);
    EXPECT_TRUE(worker().fenced);
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
