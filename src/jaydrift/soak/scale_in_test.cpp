#include "scale_in.hpp"

#include <jaydrift/soak/reduce.hpp>
#include <jaydrift/soak/soak_state.hpp>

#include <algorithm>
#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace jaydrift::soak {

namespace {

options small_options()
{
    options settings;
    settings.daemons = 2;
    settings.workers = 1;
    return settings;
}

} // namespace

// Guards against daemons that start tasks on a worker that they do not know to
// drain, and against reports while a fault may keep it from them.
TEST(scale_in, starts_on_a_draining_worker_are_reported)
{
    auto const reported = [](time_ms disturbed_at, time_ms now) {
        auto state =
            initial_state(small_options(), {"127.0.0.1:1"}, time_ms(0));
        state.draining[0] = {time_ms(10000), time_ms(90000)};
        state.disturbed_at = disturbed_at;
        scale_in::check_start(state, 0, now);
        return !state.oracle.violations().empty();
    };
    EXPECT_FALSE(reported(time_ms(0), time_ms(14000)));
    EXPECT_TRUE(reported(time_ms(0), time_ms(14001)));
    EXPECT_FALSE(reported(time_ms(12000), time_ms(16000)));
    EXPECT_TRUE(reported(time_ms(12000), time_ms(16001)));
}

// Guards against workers that drain for ever or stay away, and against a
// scale-in without congested links.
TEST(scale_in, workers_drain_leave_and_come_back)
{
    auto settings = small_options();
    settings.workers = 8;
    auto state = initial_state(
        settings, std::vector<std::string>(8, "127.0.0.1:1"), time_ms(0));
    effect_list effects;
    std::size_t most_draining = 0;
    auto most_slow = state.faulty_links.size();
    auto now = time_ms(0);
    while (!scale_in::run(state, now, effects))
    {
        scale_in::tick(state, now, effects);
        most_draining = std::max(most_draining, state.draining.size());
        most_slow = std::max(most_slow, state.faulty_links.size());
        now += time_ms(10);
    }
    EXPECT_GE(most_draining, 1U);
    EXPECT_EQ(most_slow, 2U);
    EXPECT_TRUE(state.draining.empty());
    EXPECT_EQ(state.worker_restarts.size(), most_draining);
    auto const left = state.worker_restarts.begin()->first;
    EXPECT_FALSE(state.workers[left].up());
    state.workers[left].restart(now);
    EXPECT_FALSE(state.workers[left].draining);
}

} // namespace jaydrift::soak
