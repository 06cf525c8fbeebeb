#include "callers.hpp"

#include <jaydrift/soak/soak_state.hpp>

#include <cstddef>
#include <variant>

#include <gtest/gtest.h>

namespace jaydrift::soak {

namespace {

constexpr std::size_t submissions = 30;

/// Submits, and returns how many calls went to the nested queue.
std::size_t nested_submissions(std::uint64_t config_version)
{
    soak_state state;
    state.daemons.resize(3);
    state.config_version = config_version;
    effect_list effects;
    for (std::size_t i = 0; i < submissions; ++i)
    {
        callers::submit_tasks(state, 1, time_ms(100), time_ms(0), effects);
    }
    std::size_t result = 0;
    for (auto const& each : effects)
    {
        auto const* const call = std::get_if<send_call>(&each);
        result += call && call->message.target.starts_with("/batch/nested/");
    }
    return result;
}

} // namespace

// Guards against a soak that cannot show that a call is taken for one to the
// queue above, and against calls to a queue that the operators have removed.
TEST(callers, some_submissions_go_to_the_nested_queue_while_it_exists)
{
    EXPECT_EQ(nested_submissions(2), submissions / 3);
    EXPECT_EQ(nested_submissions(3), 0U);
}

} // namespace jaydrift::soak
