#include <jaydrift/soak/oracle.hpp>

#include <gtest/gtest.h>

namespace jaydrift::soak {

namespace {

constexpr char const* id = "0000000000000001";
constexpr char const* first_task = "0000000000000001.0.0.0";
constexpr char const* second_task = "0000000000000001.0.1.0";

/// An oracle that knows one submission; its second step needs the first one.
oracle with_two_steps()
{
    soak::oracle oracle;
    submission_plan plan;
    plan.payload = "work";
    plan.steps.resize(2);
    plan.steps[1].after = {0};
    oracle.planned(id, plan);
    return oracle;
}

} // namespace

TEST(oracle, accepts_a_run_without_violations)
{
    auto oracle = with_two_steps();
    oracle.accepted(id, time_ms(0));
    oracle.started(first_task, 1, "w", "work", time_ms(1));
    oracle.ended(first_task, 1, false);
    oracle.started(first_task, 2, "w", "work", time_ms(2));
    oracle.ended(first_task, 2, true);
    oracle.acknowledged(first_task, true);
    oracle.started(second_task, 1, "w", "work", time_ms(3));
    oracle.ended(second_task, 1, true);
    oracle.shown(id, "completed");
    EXPECT_TRUE(oracle.violations().empty());
    EXPECT_TRUE(oracle.unfinished_submissions().empty());
}

TEST(oracle, finds_a_task_that_runs_twice)
{
    auto oracle = with_two_steps();
    oracle.started(first_task, 1, "w", "work", time_ms(1));
    oracle.started(first_task, 2, "v", "work", time_ms(2));
    EXPECT_EQ(oracle.violations().size(), 1U);
}

TEST(oracle, finds_a_start_after_the_end_was_acknowledged)
{
    auto oracle = with_two_steps();
    oracle.started(first_task, 1, "w", "work", time_ms(1));
    oracle.ended(first_task, 1, true);
    oracle.acknowledged(first_task, true);
    oracle.started(first_task, 2, "w", "work", time_ms(2));
    EXPECT_EQ(oracle.violations().size(), 1U);
}

// Guards against a fault that goes unnoticed: a task that starts again while
// its worker still has its end, which is acknowledged only later.
TEST(oracle, finds_a_start_before_the_end_was_acknowledged)
{
    auto oracle = with_two_steps();
    oracle.forbid_restarts(id, true);
    oracle.started(first_task, 1, "w", "work", time_ms(1));
    oracle.ended(first_task, 1, false);
    oracle.started(first_task, 2, "w", "work", time_ms(2));
    EXPECT_TRUE(oracle.violations().empty());
    oracle.ended(first_task, 2, true);
    oracle.started(first_task, 3, "v", "work", time_ms(3));
    EXPECT_EQ(oracle.violations().size(), 1U);
}

TEST(oracle, allows_a_start_after_the_end_was_lost)
{
    auto oracle = with_two_steps();
    oracle.forbid_restarts(id, true);
    oracle.started(first_task, 1, "w", "work", time_ms(1));
    oracle.ended(first_task, 1, true);
    oracle.forbid_restarts(id, false);
    oracle.started(first_task, 2, "v", "work", time_ms(2));
    EXPECT_TRUE(oracle.violations().empty());
}

// Guards against a step that counts as waiting before its turn or after its
// end.
TEST(oracle, names_the_step_whose_turn_has_come)
{
    auto oracle = with_two_steps();
    oracle.accepted(id, time_ms(0));
    auto const& steps = oracle.plan(id)->steps;
    EXPECT_EQ(oracle.ready_step(id), &steps[0]);
    oracle.started(first_task, 1, "w", "work", time_ms(1));
    oracle.ended(first_task, 1, true);
    EXPECT_EQ(oracle.ready_step(id), &steps[1]);
    EXPECT_EQ(oracle.last_start(id), time_ms(1));
    oracle.started(second_task, 1, "w", "work", time_ms(2));
    oracle.ended(second_task, 1, true);
    EXPECT_EQ(oracle.ready_step(id), nullptr);
}

TEST(oracle, finds_a_step_that_starts_too_early)
{
    auto oracle = with_two_steps();
    oracle.started(second_task, 1, "w", "work", time_ms(1));
    EXPECT_EQ(oracle.violations().size(), 1U);
}

TEST(oracle, finds_tasks_that_were_not_submitted)
{
    auto oracle = with_two_steps();
    oracle.started("0000000000000002.0.0.0", 1, "w", "work", time_ms(1));
    oracle.started(first_task, 1, "w", "other work", time_ms(1));
    EXPECT_EQ(oracle.violations().size(), 2U);
}

TEST(oracle, finds_a_refused_submission_that_starts)
{
    auto oracle = with_two_steps();
    oracle.refused(id);
    oracle.started(first_task, 1, "w", "work", time_ms(1));
    EXPECT_EQ(oracle.violations().size(), 1U);
}

TEST(oracle, finds_a_submission_that_is_shown_as_completed_too_early)
{
    auto oracle = with_two_steps();
    oracle.accepted(id, time_ms(0));
    oracle.shown(id, "completed");
    EXPECT_FALSE(oracle.violations().empty());
}

TEST(oracle, finds_cancelled_work_that_starts_late)
{
    // The first start is within `cancel_limit` after the cancel, the second one
    // is not.
    auto oracle = with_two_steps();
    oracle.accepted(id, time_ms(0));
    oracle.cancel_sent(id);
    oracle.cancelled(id, time_ms(1000));
    oracle.started(first_task, 1, "w", "work", time_ms(2000));
    EXPECT_TRUE(oracle.violations().empty());
    oracle.ended(first_task, 1, false);
    oracle.started(first_task, 2, "w", "work", time_ms(6000));
    EXPECT_EQ(oracle.violations().size(), 1U);
}

} // namespace jaydrift::soak
