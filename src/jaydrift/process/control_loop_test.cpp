#include <jaydrift/process/control_loop.hpp>

#include <functional>
#include <limits>
#include <thread>
#include <vector>

#include <gtest/gtest.h>

#include <jaydrift/core/virtual_clock.hpp>

namespace jaydrift::process {

using namespace literals;

namespace {

constexpr int timer_event_value = -1;
constexpr int stop_event = -2;

/// A timer event tells how many milliseconds the one before took.
constexpr int timer_event_after(int previous_ms)
{
    constexpr int factor = 100;
    return timer_event_value - factor * previous_ms;
}

struct test_state
{
    time_ms due{std::numeric_limits<std::int64_t>::max()};
    int steps = 0;
};

/// A reducer that returns each event as its only effect. A positive event also
/// sets the time at which the timer is due.
struct test_traits
{
    using state = test_state;
    using event = int;
    using effect = int;

    static std::vector<int> reduce(state& current, int input, time_ms)
    {
        ++current.steps;
        if (input > 0)
        {
            current.due = time_ms(input);
        }
        return {input};
    }
    static time_ms next_timer(state const& current) { return current.due; }
    static int timer_event(time_ms previous_took)
    {
        return timer_event_after(static_cast<int>(previous_took.count()));
    }
};

/// A clock that shares the time of a virtual clock.
struct shared_clock
{
    time_ms now() const { return source->now(); }

    virtual_clock const* source;
};

using test_queue = event_queue<int, shared_clock>;

struct test_interpreter
{
    explicit test_interpreter(test_queue& queue) : events(queue) {}

    void execute(int output)
    {
        executed.push_back(output);
        if (output == stop_event)
        {
            events.finish();
        }
        if (output == timer_event_value && during_timer_step)
        {
            during_timer_step();
        }
    }
    void state_changed(test_state const& state) { steps = state.steps; }

    void event_taken(time_ms waited, std::size_t queued)
    {
        waits.push_back(waited);
        queue_lengths.push_back(queued);
    }

    test_queue& events;
    std::vector<int> executed;
    std::vector<time_ms> waits;
    std::vector<std::size_t> queue_lengths;
    int steps = 0;

    /// Called within each step of the timer.
    std::function<void()> during_timer_step;
};

struct control_loop_test : testing::Test
{
    virtual_clock clock;
    test_queue events{2, {&clock}};
    test_interpreter interpreter{events};
    control_loop<test_traits, virtual_clock, test_interpreter, test_queue> loop{
        {}, clock, interpreter, events};
};

} // namespace

// Guards against timers that come early, late or not at all.
TEST_F(control_loop_test, delivers_a_timer_when_it_is_due)
{
    ASSERT_TRUE(events.post(100));
    loop.run_once();
    EXPECT_EQ(interpreter.executed, (std::vector{100}));
    clock.advance(99_ms);
    events.deliver(0);
    loop.run_once();
    EXPECT_EQ(interpreter.executed, (std::vector{100, 0}));
    clock.advance(1_ms);
    loop.run_once();
    EXPECT_EQ(interpreter.executed, (std::vector{100, 0, timer_event_value}));
    EXPECT_EQ(interpreter.steps, 3);
}

// Guards against timers that wait until the queue is empty, which a busy queue
// never is.
TEST_F(control_loop_test, a_busy_queue_does_not_delay_a_timer)
{
    ASSERT_TRUE(events.post(100));
    loop.run_once();
    clock.advance(100_ms);
    ASSERT_TRUE(events.post(0));
    ASSERT_TRUE(events.post(0));
    loop.run_once();
    EXPECT_EQ(interpreter.executed, (std::vector{100, 0, timer_event_value}));
}

// Guards against a timer that stays due and keeps the control thread running
// all the time.
TEST_F(control_loop_test, a_timer_that_stays_due_is_delivered_at_intervals)
{
    clock.advance(100_ms);
    ASSERT_TRUE(events.post(50));
    loop.run_once();
    ASSERT_TRUE(events.post(50));
    loop.run_once();
    EXPECT_EQ(interpreter.executed, (std::vector{50, timer_event_value, 50}));
    clock.advance(5_ms);
    loop.run_once();
    EXPECT_EQ(interpreter.executed,
              (std::vector{50, timer_event_value, 50, timer_event_value}));
}

// Guards against long steps of the timer that leave time for one event each:
// the queue then grows without bound.
TEST_F(control_loop_test,
       events_queued_during_a_timer_step_come_before_the_next)
{
    ASSERT_TRUE(events.post(1));
    interpreter.during_timer_step = [this] {
        clock.advance(60_ms);
        events.deliver(1);
        events.deliver(1);
    };
    clock.advance(10_ms);
    loop.run_once();
    loop.run_once();
    EXPECT_EQ(interpreter.executed, (std::vector{1, timer_event_value, 1}));
    loop.run_once();
    EXPECT_EQ(interpreter.executed,
              (std::vector{1, timer_event_value, 1, 1, timer_event_after(60)}));
}

// Guards against heartbeats that wait for a whole queue of slow events although
// the timer itself takes no time.
TEST_F(control_loop_test, a_short_timer_step_does_not_delay_the_next_one)
{
    ASSERT_TRUE(events.post(1));
    clock.advance(10_ms);
    for (auto i = 0; i < 3; ++i)
    {
        events.deliver(1);
    }
    loop.run_once();
    clock.advance(100_ms);
    loop.run_once();
    EXPECT_EQ(interpreter.executed,
              (std::vector{1, timer_event_value, 1, timer_event_value}));
}

// Guards against a full queue that blocks or grows instead of refusing events
// from outside, and against lost replies to the reducer's own calls.
TEST_F(control_loop_test, a_full_queue_sheds_calls_but_no_replies)
{
    EXPECT_TRUE(events.post(1));
    EXPECT_TRUE(events.post(2));
    EXPECT_FALSE(events.post(3));
    events.deliver(4);
    events.close();
    std::vector<int> drained;
    events.drain([&](int input) { drained.push_back(input); });
    EXPECT_EQ(drained, (std::vector{1, 2, 4}));
    EXPECT_FALSE(events.post(5));
}

// Guards against a control thread that falls behind without a trace: events
// wait in the queue while their decisions are made on old facts.
TEST_F(control_loop_test, tells_how_long_an_event_waited)
{
    ASSERT_TRUE(events.post(0));
    clock.advance(40_ms);
    events.deliver(0);
    clock.advance(300_ms);
    loop.run_once();
    loop.run_once();
    EXPECT_EQ(interpreter.waits, (std::vector{340_ms, 300_ms}));
    EXPECT_EQ(interpreter.queue_lengths, (std::vector<std::size_t>{1, 0}));
}

// Guards against a wait that is reported for timers, which are not queued.
TEST_F(control_loop_test, a_timer_does_not_wait_in_the_queue)
{
    ASSERT_TRUE(events.post(50));
    clock.advance(100_ms);
    loop.run_once();
    EXPECT_EQ(interpreter.executed, (std::vector{50, timer_event_value}));
    EXPECT_EQ(interpreter.waits, (std::vector{100_ms}));
}

// Guards against a control thread that handles events after `finish` or never
// ends.
TEST_F(control_loop_test, ends_after_the_event_that_finishes_it)
{
    std::thread control([this] { loop.run(); });
    events.deliver(stop_event);
    control.join();
    events.deliver(7);
    EXPECT_EQ(interpreter.executed, (std::vector{stop_event}));
}

} // namespace jaydrift::process
