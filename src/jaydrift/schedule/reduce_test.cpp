#include <jaydrift/schedule/reduce.hpp>

#include <jaydrift/schedule/daemon_state.hpp>
#include <jaydrift/schedule/event.hpp>

#include <algorithm>
#include <utility>

#include <gtest/gtest.h>

namespace jaydrift::schedule {

namespace {

settings settings_with(std::uint64_t incarnation)
{
    settings options;
    options.node = "d0";
    options.address = "10.0.0.1:7000";
    options.incarnation = incarnation;
    return options;
}

template<class Effect>
std::vector<Effect> of_kind(effect_list const& all)
{
    std::vector<Effect> result;
    for (auto const& each : all)
    {
        if (auto const* const found = std::get_if<Effect>(&each))
        {
            result.push_back(*found);
        }
    }
    return result;
}

} // namespace

// Guards against a reducer that depends on more than the state, the event and
// the time: a replay of recorded events would then differ from the original
// run.
TEST(reduce, equal_events_give_equal_effects)
{
    auto first = initial_state(settings_with(7), time_ms(0));
    auto second = initial_state(settings_with(7), time_ms(0));
    for (auto i = 0; i < 50; ++i)
    {
        auto const now = time_ms(i * 50);
        auto const first_effects = reduce(first, timer_due{now}, now);
        auto const second_effects = reduce(second, timer_due{now}, now);
        EXPECT_EQ(first_effects.size(), second_effects.size());
    }
}

// Guards against a daemon that accepts calls before it knows the queues.
TEST(reduce, refuses_calls_without_a_configuration)
{
    auto state = initial_state(settings_with(1), time_ms(0));
    call_arrived call;
    call.call = 1;
    call.host = "jobs.example";
    call.path = "/batch/00000000000000a1";
    auto const answers = of_kind<answer_call>(reduce(state, call, time_ms(0)));
    ASSERT_EQ(answers.size(), 1U);
    EXPECT_EQ(answers[0].reply.result, answer::code::unavailable);
}

// Another daemon may have taken over while the process of the owner was frozen.
// Guards against an owner that then starts or stops tasks without asking the
// store.
TEST(reduce, a_frozen_owner_asks_before_it_goes_on)
{
    auto state = initial_state(settings_with(1), time_ms(0));
    state.shards.resize(1);
    state.shards[0].ownership.role = owner_role::owner;
    state.shards[0].ownership.revision = 5;
    state.last_event_at = time_ms(1000);
    static_cast<void>(reduce(state, timer_due{time_ms(4000)}, time_ms(4000)));
    EXPECT_EQ(state.shards[0].ownership.role, owner_role::suspended);
}

// Guards against a submission that is forwarded although its caller has given
// up and cancelled it: it arrived while the process stood still.
TEST(reduce, refuses_calls_that_ran_out_while_the_process_stood_still)
{
    for (auto const& [gap, refused] :
         {std::pair(time_ms(4000), true), std::pair(time_ms(600), false)})
    {
        auto state = initial_state(settings_with(1), time_ms(0));
        configuration config;
        config.queues.push_back({"batch", "jobs.example", "/batch/", "svc", 0,
                                 3, 2.0, time_ms(1000)});
        state.config = config;
        state.shards.resize(1);
        state.shards[0].ownership.revision = 5;
        state.shards[0].ownership.record = {"d1", "10.0.0.2:7000", 1, 7};
        // Otherwise the daemon would suspect the owner.
        state.shards[0].ownership.next_claim = time_ms(1000000);
        state.last_event_at = time_ms(1000);
        auto const now = time_ms(1000) + gap;
        static_cast<void>(reduce(state, timer_due{now}, now));
        call_arrived call;
        call.call = 1;
        call.verb = call_verb::submit;
        call.host = "jobs.example";
        call.path = "/batch/00000000000000a1";
        call.work.emplace().steps.resize(1);
        call.time_limit = time_ms(3000);
        auto const at_once = reduce(state, call, now + time_ms(5));
        EXPECT_EQ(of_kind<forward_call>(at_once).empty(), refused);
        auto const answers = of_kind<answer_call>(at_once);
        EXPECT_EQ(!answers.empty(), refused);
        if (!answers.empty())
        {
            EXPECT_EQ(answers[0].reply.result, answer::code::unavailable);
        }
        call.call = 2;
        auto const later = reduce(state, call, now + time_ms(300));
        EXPECT_EQ(of_kind<forward_call>(later).size(), 1U);
    }
}

// Guards against an older configuration that replaces a newer one because it
// arrives later.
TEST(reduce, keeps_the_highest_configuration)
{
    auto state = initial_state(settings_with(1), time_ms(0));
    auto const calls =
        of_kind<store_call>(reduce(state, timer_due{}, time_ms(0)));
    auto const read =
        std::find_if(calls.begin(), calls.end(), [](store_call const& each) {
            auto const* const area = std::get_if<read_area>(&each.request);
            return area && area->area == store_area::operators;
        });
    ASSERT_NE(read, calls.end());
    configuration config;
    config.version = 9;
    store_replied reply;
    reply.call = read->call;
    reply.status = store_status::ok;
    reply.revision = 3;
    reply.items = {{{record_kind::configuration, {}}, 3, false, config}};
    auto const next = of_kind<store_call>(reduce(state, reply, time_ms(5)));
    ASSERT_EQ(state.config->version, 9U);
    auto const watch =
        std::find_if(next.begin(), next.end(), [](store_call const& each) {
            return std::holds_alternative<watch_area>(each.request);
        });
    ASSERT_NE(watch, next.end());
    config.version = 8;
    reply.call = watch->call;
    reply.revision = 4;
    reply.items = {{{record_kind::configuration, {}}, 4, false, config}};
    static_cast<void>(reduce(state, reply, time_ms(10)));
    EXPECT_EQ(state.config->version, 9U);
}

// Guards against repeated reads that saturate a link. In the kallaloo-ops-grown
// scenario (trouble-1), a configuration of 480 KB for each daemon took longer
// than the time limit of the watch, and each new attempt filled the link again.
TEST(reduce, a_watch_without_an_answer_gets_more_time)
{
    auto state = initial_state(settings_with(1), time_ms(0));
    auto const read_of = [](effect_list const& all) {
        std::optional<store_call> found;
        for (auto const& call : of_kind<store_call>(all))
        {
            auto const* const area = std::get_if<read_area>(&call.request);
            if (area && area->area == store_area::operators)
            {
                found = call;
            }
        }
        return found;
    };
    auto now = time_ms(0);
    auto call = read_of(reduce(state, timer_due{}, now));
    ASSERT_TRUE(call);
    auto const first = call->time_limit;
    for (auto const factor : {2, 4, 4})
    {
        store_replied lost;
        lost.call = call->call;
        static_cast<void>(reduce(state, lost, now));
        now += time_ms(200);
        call = read_of(reduce(state, timer_due{now}, now));
        ASSERT_TRUE(call);
        EXPECT_EQ(call->time_limit, first * factor);
    }
}

// Guards against a stop that breaks off calls: a daemon that stays ready,
// closes connections before the load balancer knows, or is still there at
// SIGKILL.
TEST(reduce, stops_gracefully)
{
    auto state = initial_state(settings_with(1), time_ms(0));
    auto const first = reduce(state, stop_requested{}, time_ms(0));
    ASSERT_EQ(of_kind<set_ready>(first).size(), 1U);
    EXPECT_FALSE(of_kind<set_ready>(first)[0].ready);
    auto closed = time_ms(-1);
    auto exited = time_ms(-1);
    for (auto now = time_ms(50); now < time_ms(6000); now += time_ms(50))
    {
        auto const effects = reduce(state, timer_due{now}, now);
        closed = of_kind<close_connections>(effects).empty() ? closed : now;
        exited = of_kind<exit_process>(effects).empty() ? exited : now;
    }
    EXPECT_GT(closed, time_ms(2000));
    EXPECT_GT(exited, closed);
    EXPECT_LT(exited, time_ms(5500));
}

// Guards against open calls that get no answer because the process exits.
TEST(reduce, answers_open_calls_before_the_exit)
{
    auto state = initial_state(settings_with(1), time_ms(0));
    configuration config;
    config.queues.push_back(
        {"batch", "jobs.example", "/batch/", "svc", 0, 3, 2.0, time_ms(1000)});
    state.config = config;
    // A suspended owner keeps its calls waiting.
    state.shards.resize(1);
    state.shards[0].ownership.role = owner_role::suspended;
    state.shards[0].ownership.revision = 5;
    static_cast<void>(reduce(state, stop_requested{}, time_ms(0)));
    std::optional<time_ms> answered;
    std::optional<time_ms> exited;
    for (auto now = time_ms(50); now < time_ms(6000); now += time_ms(50))
    {
        event input = timer_due{now};
        if (now == time_ms(4900))
        {
            call_arrived call;
            call.call = 1;
            call.host = "jobs.example";
            call.path = "/batch/00000000000000a1";
            input = call;
        }
        auto const effects = reduce(state, input, now);
        if (!of_kind<answer_call>(effects).empty())
        {
            answered = now;
        }
        if (!of_kind<exit_process>(effects).empty())
        {
            exited = now;
        }
    }
    ASSERT_TRUE(answered && exited);
    EXPECT_LT(*answered, *exited);
}

} // namespace jaydrift::schedule
