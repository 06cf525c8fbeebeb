#include "late_orders.hpp"

#include "faults.hpp"
#include "simulated_platform.hpp"

#include <jaydrift/soak/reduce.hpp>
#include <jaydrift/soak/request_arrived.hpp>
#include <jaydrift/soak/soak_state.hpp>

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include <gtest/gtest.h>

namespace jaydrift::soak {

namespace {

constexpr char const* submission = "0000000000000001";
constexpr std::uint64_t low_token = 7;
constexpr std::uint64_t high_token = 8;

soak_state state_with(std::size_t workers)
{
    options settings;
    settings.daemons = 1;
    settings.workers = workers;
    settings.max_lease = time_ms(10000);
    settings.late_orders = true;
    auto state = initial_state(
        settings, std::vector<std::string>(workers, "127.0.0.1:1"), time_ms(0));
    submission_plan plan;
    plan.steps.resize(1);
    plan.steps[0].run_time = time_ms(60000);
    state.oracle.planned(submission, plan);
    return state;
}

/// Lets an order for worker 0 arrive.
void send(soak_state& state, std::string target, std::uint64_t token,
          time_ms now)
{
    http::request message;
    message.method = "POST";
    message.target = std::move(target);
    message.headers = {{"Expected-Instance", "i-0"}};
    message.body = std::string(R"({"task":")") + submission
                   + R"(.0.0.0","runId":1,"deadlineMs":900000,"fenceToken":)"
                   + std::to_string(token) + "}";
    effect_list effects;
    simulated_platform::arrived(state, {1, 0, std::move(message)}, now,
                                effects);
}

void tick_until(soak_state& state, time_ms from, time_ms to)
{
    effect_list effects;
    for (auto now = from; now < to; now += time_ms(10))
    {
        simulated_platform::tick(state, now, effects);
    }
}

/// Holds back a start for worker 0, which then crashes and starts again.
soak_state state_after_restart()
{
    auto state = state_with(1);
    state.late_orders.percent = 100;
    send(state, "/api/run-start", low_token, time_ms(20000));
    state.late_orders.percent = 0;
    simulated_platform::crash_worker(state, 0, time_ms(21000));
    simulated_platform::restart_worker(state, 0, time_ms(21000));
    return state;
}

} // namespace

// Guards against held orders that are lost with the process that they were
// meant for: the next one starts the run, on a lease of the longest length.
TEST(late_orders, a_late_start_reaches_the_later_process)
{
    auto state = state_after_restart();
    EXPECT_EQ(state.oracle.running_tasks(submission), 0U);
    auto now = time_ms(21000);
    while (state.oracle.running_tasks(submission) == 0 && now < time_ms(33000))
    {
        tick_until(state, now, now + time_ms(10));
        now += time_ms(10);
    }
    EXPECT_GE(now, time_ms(22000));
    ASSERT_EQ(state.oracle.running_tasks(submission), 1U);
    tick_until(state, now, now + time_ms(9900));
    EXPECT_EQ(state.oracle.running_tasks(submission), 1U);
    tick_until(state, now + time_ms(9900), now + time_ms(10100));
    EXPECT_EQ(state.oracle.running_tasks(submission), 0U);
    EXPECT_TRUE(state.oracle.violations().empty());
}

// Guards against a worker that hides the fencing of former processes.
TEST(late_orders, a_late_start_is_refused_after_a_higher_token)
{
    auto state = state_after_restart();
    send(state, "/api/hold", high_token, time_ms(21500));
    tick_until(state, time_ms(21500), time_ms(34000));
    EXPECT_TRUE(state.requests.empty());
    EXPECT_EQ(state.oracle.start_count(), 0U);
}

// Guards against a setting that has no effect, or one that spares holds too.
TEST(late_orders, holds_alone_are_late_if_set)
{
    for (auto const* const target : {"/api/hold", "/api/run-start"})
    {
        auto state = state_with(1);
        state.settings.late_holds_only = true;
        state.late_orders.percent = 100;
        send(state, target, low_token, time_ms(20000));
        EXPECT_EQ(state.requests.size(),
                  std::string(target) == "/api/hold" ? 1U : 0U);
    }
}

// Guards against late orders that start runs on a worker that is down, or on
// one that has taken another ID.
TEST(late_orders, a_late_start_needs_a_process_of_the_same_id)
{
    auto down = state_after_restart();
    simulated_platform::crash_worker(down, 0, time_ms(60000));
    tick_until(down, time_ms(21000), time_ms(34000));
    EXPECT_TRUE(down.requests.empty());
    EXPECT_EQ(down.oracle.start_count(), 0U);

    auto renamed = state_after_restart();
    renamed.workers[0].rename("i-1");
    tick_until(renamed, time_ms(21000), time_ms(34000));
    EXPECT_EQ(renamed.oracle.start_count(), 0U);
}

// Guards against rounds that do not meet the fault: workers that are cut off
// while they are down, too late for a wait to be over, or too briefly.
TEST(late_orders, workers_are_cut_off_soon_after_they_start_again)
{
    auto state = state_with(8);
    effect_list effects;
    std::map<std::size_t, time_ms> crashed;
    std::map<std::size_t, time_ms> cut;
    std::size_t cuts = 0;
    auto over = false;
    for (auto now = time_ms(0); now < time_ms(60000) && !over;
         now += time_ms(10))
    {
        effects.clear();
        faults::tick(state, now, effects);
        over = late_orders::run(state, now, effects);
        for (std::size_t i = 0; i < state.workers.size(); ++i)
        {
            if (!state.workers[i].up())
            {
                crashed[i] = now;
            }
        }
        for (auto const& each : effects)
        {
            auto const* const link = std::get_if<set_link>(&each);
            if (link && link->mode == link_mode::silent)
            {
                ++cuts;
                auto const worker = link->link.number;
                EXPECT_TRUE(state.workers[worker].up());
                EXPECT_LE(now - crashed.at(worker), time_ms(3010));
                cut[worker] = now;
            }
            else if (link && cut.contains(link->link.number))
            {
                EXPECT_GE(now - cut.at(link->link.number), time_ms(9000));
            }
        }
    }
    EXPECT_TRUE(over);
    EXPECT_GE(cuts, 4U);
    EXPECT_TRUE(state.faulty_links.empty());
}

} // namespace jaydrift::soak
