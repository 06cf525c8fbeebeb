#include "other_writer.hpp"
#include "simulated_platform.hpp"
#include "waiting_check.hpp"

#include <jaydrift/soak/key_value_store.hpp>
#include <jaydrift/soak/reduce.hpp>

#include <jaydrift/codec/json.hpp>

#include <algorithm>
#include <string>
#include <utility>

#include <gtest/gtest.h>

namespace jaydrift::soak {

namespace {

http::request get(std::string target)
{
    http::request message;
    message.target = std::move(target);
    return message;
}

http::request transaction(std::string body)
{
    http::request message;
    message.method = "POST";
    message.target = "/api/kv-txn";
    message.body = std::move(body);
    return message;
}

http::request order(std::string target, std::string body)
{
    http::request message;
    message.method = "POST";
    message.target = std::move(target);
    message.headers = {{"Expected-Instance", "i-0"}};
    message.body = std::move(body);
    return message;
}

options small_options()
{
    options settings;
    settings.daemons = 2;
    settings.workers = 1;
    return settings;
}

http::request watch_of(std::string const& prefix, std::uint64_t after)
{
    http::request message;
    message.target =
        "/api/kv-watch?prefix=" + prefix + "&after=" + std::to_string(after);
    return message;
}

/// Returns the number of events of a watch, and the revision from which it
/// continues.
std::pair<std::size_t, std::uint64_t> read_watch(key_value_store& store,
                                                 std::string const& prefix,
                                                 std::uint64_t after)
{
    auto const reply = store.handle(watch_of(prefix, after));
    if (!reply)
    {
        return {0, after};
    }
    auto const root = codec::parse_object(reply->body);
    return {codec::array(root, "events")->Size(),
            static_cast<std::uint64_t>(codec::integer(root, "atRev"))};
}

} // namespace

// Guards against a transaction that is applied though an item has changed.
TEST(key_value_store, a_transaction_needs_all_that_it_expects)
{
    key_value_store store;
    auto const body =
        R"({"expected":[{"key":"a","revision":0}],"puts":[{"key":"a","value":"eA=="}]})";
    EXPECT_EQ(store.handle(transaction(body))->status, 200U);
    EXPECT_EQ(store.handle(transaction(body))->status, 412U);
    EXPECT_EQ(store.handle(get("/api/kv-key?key=a"))->status, 200U);
    EXPECT_EQ(store.handle(get("/api/kv-key?key=b"))->status, 404U);
}

// Guards against watches that end without a change or miss a compaction.
TEST(key_value_store, a_watch_waits_for_changes_of_its_prefix)
{
    key_value_store store;
    auto const after = std::to_string(store.revision());
    auto const watch = get("/api/kv-watch?prefix=a/&after=" + after);
    store.put("b/1", "");
    EXPECT_FALSE(store.handle(watch));
    store.put("a/1", "");
    ASSERT_TRUE(store.handle(watch));
    store.compact();
    EXPECT_EQ(store.handle(watch)->status, 410U);
}

// Guards against ranges that end early or claim more items than there are.
TEST(key_value_store, a_range_comes_in_pages)
{
    key_value_store store;
    for (auto i = 1000; i < 1300; ++i)
    {
        store.put("a/" + std::to_string(i), "");
    }
    auto const first = store.handle(get("/api/kv-range?prefix=a/"));
    auto const page = codec::parse_object(first->body);
    EXPECT_TRUE(codec::boolean(page, "hasMore"));
    auto const last = codec::text(
        (*codec::array(page, "items"))[codec::array(page, "items")->Size() - 1],
        "key");
    auto const second =
        store.handle(get("/api/kv-range?prefix=a/&after=" + last));
    EXPECT_FALSE(codec::boolean(codec::parse_object(second->body), "hasMore"));
}

// Guards against a store that hides how far a daemon is behind, since one reply
// brings all changes, or that skips changes between two replies.
TEST(key_value_store, a_watch_brings_a_limited_number_of_changes)
{
    key_value_store store;
    auto const start = store.revision();
    for (auto i = 0; i < 700; ++i)
    {
        store.put("a/" + std::to_string(i), "");
        store.put("b/", "");
    }
    auto const [count, at] = read_watch(store, "a/", start);
    EXPECT_EQ(count, 500U);
    EXPECT_LT(at, store.revision());
    auto const [rest, end] = read_watch(store, "a/", at);
    EXPECT_EQ(rest, 200U);
    EXPECT_EQ(end, store.revision());
}

// Guards against a transaction of which a watch shows only a part.
TEST(key_value_store, a_limited_reply_has_all_changes_of_a_revision)
{
    key_value_store store;
    auto const start = store.revision();
    for (auto i = 0; i < 499; ++i)
    {
        store.put("a/" + std::to_string(i), "");
    }
    store.handle(transaction(
        R"({"puts":[{"key":"a/x","value":""},{"key":"a/y","value":""}]})"));
    store.put("a/z", "");
    auto const [count, at] = read_watch(store, "a/", start);
    EXPECT_EQ(count, 501U);
    EXPECT_EQ(read_watch(store, "a/", at).first, 1U);
}

// Guards against a store that keeps its history for ever, so that a daemon that
// falls behind never has to read all again, or drops what is still recent.
TEST(key_value_store, history_is_kept_for_a_while)
{
    key_value_store store;
    auto const start = store.revision();
    store.put("a/", "");
    for (auto now = time_ms(0); now <= time_ms(20000); now += time_ms(10))
    {
        store.expire_history(now);
    }
    EXPECT_EQ(store.handle(watch_of("a/", start))->status, 200U);
    for (auto now = time_ms(20000); now <= time_ms(21000); now += time_ms(10))
    {
        store.expire_history(now);
    }
    EXPECT_EQ(store.handle(watch_of("a/", start))->status, 410U);
    EXPECT_FALSE(store.handle(watch_of("a/", store.revision())));
}

// Guards against workers whose entries rest, so that a watch has nothing to do.
TEST(simulated_platform, a_heartbeat_changes_the_entry_of_a_worker)
{
    auto state = initial_state(small_options(), {"127.0.0.1:1"}, time_ms(0));
    effect_list effects;
    auto const start = state.store.revision();
    for (auto now = time_ms(0); now < time_ms(15000); now += time_ms(10))
    {
        simulated_platform::tick(state, now, effects);
    }
    EXPECT_NEAR(
        static_cast<double>(read_watch(state.store, "servers/", start).first),
        10, 1);
    auto const before = state.workers[0].record();
    EXPECT_TRUE(state.workers[0].heartbeat(time_ms(20000)));
    EXPECT_NE(state.workers[0].record(), before);
}

// Guards against a simulated worker that hides faults of the daemons by taking
// orders of former owners or starting stopped runs.
TEST(task_worker, refuses_lower_fencing_tokens_and_old_runs)
{
    soak::oracle oracle;
    submission_plan plan;
    plan.steps.resize(1);
    oracle.planned("0000000000000001", plan);
    task_worker worker("i-0", "127.0.0.1:1", "a", time_ms(6000), 1);
    auto const start = [&](int run, int token) {
        return worker
            .handle(order("/api/run-start",
                          R"({"task":"0000000000000001.0.0.0","runId":)"
                              + std::to_string(run) + R"(,"fenceToken":)"
                              + std::to_string(token)
                              + R"(,"deadlineMs":9000})"),
                    oracle, time_ms(1000))
            .status;
    };
    EXPECT_EQ(start(3, 7), 200U);
    EXPECT_EQ(start(4, 6), 409U);
    worker.handle(order("/api/run-stop",
                        R"({"task":"0000000000000001.0.0.0","runId":3,
                            "fenceToken":7})"),
                  oracle, time_ms(1000));
    EXPECT_EQ(start(3, 7), 409U);
    EXPECT_EQ(start(4, 7), 200U);
    EXPECT_TRUE(oracle.violations().empty());
}

// Guards against odd entries that change what the soak checks: they may not
// touch an entry of the workers, the operator or the daemons.
TEST(soak, another_writer_keeps_to_its_own_keys)
{
    auto const settings = small_options();
    auto state = initial_state(settings, {"127.0.0.1:1"}, time_ms(0));
    auto const read = [&state](std::string const& key) {
        auto const reply = state.store.handle(get("/api/kv-key?key=" + key));
        return codec::text(codec::parse_object(reply->body), "value");
    };
    auto const worker = read("servers/i-0");
    auto const configuration = read("op/config");
    std::size_t most = 0;
    effect_list effects;
    for (auto now = time_ms(0); now < time_ms(300000); now += time_ms(10))
    {
        other_writer::tick(state, now, effects);
        most = std::max(most, state.odd_entries.size());
    }
    EXPECT_EQ(read("servers/i-0"), worker);
    EXPECT_EQ(read("op/config"), configuration);
    EXPECT_GT(most, settings.odd_entries / 2);
    EXPECT_LE(most, settings.odd_entries);
    EXPECT_GT(effects.size(), 900U);
}

// Guards against accepted work that waits beside free workers and is not
// reported, and against reports before the time to recover is over.
TEST(soak, ready_work_may_not_wait_beside_room)
{
    constexpr char const* id = "0000000000000001";
    auto const first_violation = [](std::int64_t millicores) {
        auto state =
            initial_state(small_options(), {"127.0.0.1:1"}, time_ms(0));
        submission_plan plan;
        plan.steps.resize(1);
        plan.steps[0].demand = {millicores, 500, 0};
        state.oracle.planned(id, plan);
        state.oracle.accepted(id, time_ms(0));
        for (auto now = time_ms(0); now < time_ms(30000); now += time_ms(500))
        {
            waiting_check::tick(state, now);
            if (!state.oracle.violations().empty())
            {
                return now;
            }
        }
        return time_ms(0);
    };
    EXPECT_EQ(first_violation(4000), time_ms(15500));
    // A worker has 8000 millicores, which is not room for two.
    EXPECT_EQ(first_violation(4001), time_ms(0));
}

// Guards the replay of a seed: equal events must give equal faults and calls.
TEST(soak, equal_events_give_equal_effects)
{
    auto first = initial_state(small_options(), {"127.0.0.1:1"}, time_ms(0));
    auto second = initial_state(small_options(), {"127.0.0.1:1"}, time_ms(0));
    std::size_t effect_count = 0;
    for (auto now = time_ms(0); now < time_ms(15000); now += time_ms(10))
    {
        auto const first_effects = reduce(first, tick_due{}, now);
        auto const second_effects = reduce(second, tick_due{}, now);
        ASSERT_EQ(first_effects.size(), second_effects.size());
        for (std::size_t i = 0; i < first_effects.size(); ++i)
        {
            EXPECT_EQ(first_effects[i].index(), second_effects[i].index());
        }
        effect_count += first_effects.size();
    }
    EXPECT_GT(effect_count, 50U);
}

} // namespace jaydrift::soak
