#include "silent_store.hpp"

#include <jaydrift/soak/reduce.hpp>
#include <jaydrift/soak/soak_state.hpp>

#include <algorithm>
#include <string>
#include <variant>
#include <vector>

#include <gtest/gtest.h>

namespace jaydrift::soak {

namespace {

constexpr std::size_t worker_count = 8;

soak_state state_in_phase()
{
    options settings;
    settings.daemons = 2;
    settings.workers = worker_count;
    auto state = initial_state(
        settings, std::vector<std::string>(worker_count, "127.0.0.1:1"),
        time_ms(0));
    state.current_phase = soak_state::phase::silent_store;
    return state;
}

/// Returns whether the store answers a read.
bool answers(soak_state& state, std::uint64_t number, time_ms now)
{
    http::request read;
    read.method = "GET";
    read.target = "/api/kv-key?key=op/config";
    auto const effects = reduce(
        state, request_arrived{number, std::nullopt, std::move(read)}, now);
    return std::any_of(
        effects.begin(), effects.end(), [number](effect const& each) {
            auto const* const output = std::get_if<respond>(&each);
            return output && output->number == number;
        });
}

} // namespace

// Guards against a silence that is none: a store that answers calls, or that
// answers them later.
TEST(silent_store, calls_are_never_answered)
{
    auto state = state_in_phase();
    EXPECT_TRUE(answers(state, 1, time_ms(10)));
    auto now = time_ms(20);
    while (!state.store_silent_until)
    {
        static_cast<void>(reduce(state, tick_due{}, now));
        now += time_ms(10);
    }
    EXPECT_FALSE(answers(state, 2, now));
    while (!state.store_returned_at)
    {
        for (auto const& each : reduce(state, tick_due{}, now))
        {
            auto const* const output = std::get_if<respond>(&each);
            EXPECT_FALSE(output && output->number == 2);
        }
        now += time_ms(10);
    }
    EXPECT_TRUE(answers(state, 3, now));
}

// Guards against a silence after which nothing is checked: the configuration
// changes and workers drain when the store returns, and all daemons are asked.
TEST(silent_store, its_return_brings_changes)
{
    auto state = state_in_phase();
    auto const version = state.config_version;
    effect_list effects;
    auto now = time_ms(0);
    while (!silent_store::run(state, now, effects))
    {
        now += time_ms(10);
    }
    EXPECT_EQ(state.config_version, version + 1);
    EXPECT_FALSE(state.draining.empty());
    std::vector<bool> asked(state.daemons.size());
    for (auto const& each : effects)
    {
        if (auto const* const call = std::get_if<send_call>(&each))
        {
            asked[call->daemon] = true;
        }
    }
    EXPECT_EQ(std::count(asked.begin(), asked.end(), true), 2);
}

} // namespace jaydrift::soak
