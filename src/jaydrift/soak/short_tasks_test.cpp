#include "short_tasks.hpp"

#include "silent_store.hpp"

#include <jaydrift/soak/reduce.hpp>
#include <jaydrift/soak/soak_state.hpp>

#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <variant>
#include <vector>

namespace jaydrift::soak {

namespace {

soak_state state_with_short_tasks()
{
    options settings;
    settings.daemons = 2;
    settings.workers = 2;
    settings.short_tasks = 90;
    auto state = initial_state(
        settings, std::vector<std::string>(settings.workers, "127.0.0.1:1"),
        time_ms(0));
    state.current_phase = soak_state::phase::silent_store;
    return state;
}

std::string first_task_of(soak_state const& state)
{
    return state.short_submissions.front() + ".0.0.0";
}

} // namespace

// Guards against work that no daemon can accept, since the store is silent
// already.
TEST(short_tasks, are_submitted_before_the_store_falls_silent)
{
    auto state = state_with_short_tasks();
    effect_list effects;
    auto now = time_ms(0);
    while (!state.store_silent_until)
    {
        silent_store::run(state, now, effects);
        now += time_ms(10);
    }
    EXPECT_EQ(state.short_submissions.size(), 3U);
    EXPECT_EQ(std::count_if(effects.begin(), effects.end(),
                            [](effect const& each) {
                                auto const* const call =
                                    std::get_if<send_call>(&each);
                                return call && call->message.method == "POST";
                            }),
              3);
}

// Guards against a check that misses tasks that start again while the ends of
// their first runs are not listed yet, or that forbids it for ever.
TEST(short_tasks, must_not_start_again_until_workers_leave)
{
    auto state = state_with_short_tasks();
    effect_list effects;
    short_tasks::submit(state, time_ms(0), effects);
    auto const task = first_task_of(state);
    auto const payload =
        state.oracle.plan(state.short_submissions.front())->payload;
    state.oracle.started(task, 1, "i-0", payload, time_ms(1));
    state.oracle.ended(task, 1, true);
    state.oracle.started(task, 2, "i-0", payload, time_ms(2));
    EXPECT_EQ(state.oracle.violations().size(), 1U);
    state.oracle.ended(task, 2, true);
    auto now = time_ms(0);
    while (!silent_store::run(state, now, effects))
    {
        now += time_ms(10);
    }
    auto const other = state.short_submissions.back() + ".0.0.0";
    auto const other_payload =
        state.oracle.plan(state.short_submissions.back())->payload;
    state.oracle.started(other, 1, "i-0", other_payload, now);
    state.oracle.ended(other, 1, true);
    state.oracle.started(other, 2, "i-1", other_payload, now);
    EXPECT_EQ(state.oracle.violations().size(), 1U);
}

} // namespace jaydrift::soak
