#include "rpc_test_client.hpp"

#include <gtest/gtest.h>

#include <future>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <variant>
#include <vector>

namespace jaydrift::net {

// Guards against an answer that is cut short or mixed up on the way.
TEST(rpc, carries_large_answers_whole)
{
    rpc_thread thread;
    std::string const large(8U << 20, 'a');
    auto const port = serve<worker_service>(
        thread, any_port, [](worker_request request, auto const& answer) {
            worker_reply reply;
            reply.answer = std::get<start_request>(request).payload + '.';
            answer(std::move(reply));
        });
    std::vector<std::future<result_of<worker_service>>> results;
    for (char letter = 'a'; letter < 'e'; ++letter)
    {
        start_request request;
        request.payload = large + letter;
        results.push_back(
            start_call<worker_service>(thread, local(port), request));
    }
    for (char letter = 'a'; letter < 'e'; ++letter)
    {
        auto const result = results[letter - 'a'].get();
        EXPECT_EQ(std::get<worker_reply>(result).answer, large + letter + '.');
    }
}

// Guards against a peer that never answers holding up other calls, on its own
// connection or on others.
TEST(rpc, hung_peer_blocks_no_other_call)
{
    rpc_thread thread;
    std::vector<store_responder> unanswered;
    auto const port = serve<store_service>(
        thread, any_port,
        [&unanswered](store_request const& request, auto const& answer) {
            if (key_of(request) == "hang")
            {
                return unanswered.push_back(answer);
            }
            answer_seven(answer);
        });
    mute_socket const mute(true);
    auto hung = read_key(thread, local(port), "hang", 300_ms);
    auto silent = read_key(thread, mute.address(), "x", 300_ms);
    EXPECT_EQ(revision_of(read_key(thread, local(port), "x").get()), 7U);
    EXPECT_FALSE(never_sent(hung.get()));
    EXPECT_FALSE(never_sent(silent.get()));
    EXPECT_EQ(revision_of(read_key(thread, local(port), "x").get()), 7U);
    thread.stop();
}

// Guards against reporting that a request may have run when it cannot have.
TEST(rpc, refused_connection_is_never_sent)
{
    rpc_thread thread;
    mute_socket const refusing(false);
    EXPECT_TRUE(never_sent(read_key(thread, refusing.address(), "x").get()));
    EXPECT_TRUE(never_sent(read_key(thread, "no address", "x").get()));
}

// Guards against reporting that a request was not run when it may have, and
// against keeping a broken connection.
TEST(rpc, server_that_dies_may_have_run_the_call)
{
    rpc_thread client;
    std::promise<void> arrived;
    std::vector<store_responder> unanswered;
    auto server = std::make_unique<rpc_thread>();
    auto const port = serve<store_service>(
        *server, any_port, [&](store_request const&, auto const& answer) {
            unanswered.push_back(answer);
            arrived.set_value();
        });
    auto result = read_key(client, local(port), "x");
    arrived.get_future().wait();
    server->stop();
    EXPECT_FALSE(never_sent(result.get()));

    EXPECT_TRUE(never_sent(read_key(client, local(port), "x").get()));
    server = std::make_unique<rpc_thread>();
    serve_seven(*server, local(port));
    EXPECT_EQ(revision_of(read_key(client, local(port), "x").get()), 7U);
}

// Guards against answers that may only be given on the traffic thread, and
// against calls that stay open after their responder is gone.
TEST(rpc, responder_works_on_any_thread_and_fails_when_dropped)
{
    rpc_thread thread;
    std::vector<std::thread> helpers;
    auto const port = serve<store_service>(
        thread, any_port,
        [&helpers](store_request const& request, auto const& answer) {
            if (key_of(request) == "answer")
            {
                helpers.emplace_back([answer] { answer_seven(answer); });
            }
        });
    EXPECT_EQ(revision_of(read_key(thread, local(port), "answer").get()), 7U);
    EXPECT_FALSE(never_sent(read_key(thread, local(port), "drop").get()));
    helpers.front().join();
}

// Guards against a responder that outlives its thread.
TEST(rpc, responder_may_outlive_the_thread)
{
    auto thread = std::make_unique<rpc_thread>();
    std::promise<store_responder> taken;
    auto const port = serve<store_service>(
        *thread, any_port, [&taken](store_request const&, auto const& answer) {
            taken.set_value(answer);
        });
    auto result = read_key(*thread, local(port), "x");
    auto const answer = taken.get_future().get();
    thread.reset();
    answer_seven(answer);
    EXPECT_FALSE(never_sent(result.get()));
}

// Guards against calls that are forgotten, or answered twice, when the thread
// stops.
TEST(rpc, stop_fails_every_open_call_once)
{
    rpc_thread thread;
    mute_socket const mute(true);
    constexpr int calls = 100;
    int failed = 0;
    for (int i = 0; i < calls; ++i)
    {
        call<store_service>(thread, mute.address(), read_request{"x"}, 60000_ms,
                            [&failed](store_result const&) { ++failed; });
    }
    thread.stop();
    EXPECT_EQ(failed, calls);
    EXPECT_TRUE(never_sent(read_key(thread, mute.address(), "x").get()));
}

} // namespace jaydrift::net
