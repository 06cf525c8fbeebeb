#include <jaydrift/net/net_error.hpp>
#include <jaydrift/net/rpc_client.hpp>
#include <jaydrift/net/rpc_server.hpp>
#include <jaydrift/net/rpc_thread.hpp>

#include "endpoint.hpp"
#include "rpc_limits.hpp"

#include <jaydrift.capnp.h>

#include <capnp/ez-rpc.h>
#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <unistd.h>

#include <future>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <variant>
#include <vector>

namespace jaydrift::net {

using namespace literals;

namespace {

template<class Service>
using result_of = rpc_result<typename Service::reply>;
using store_result = result_of<store_service>;
using store_responder = responder<store_reply>;

std::string const any_port = "127.0.0.1:0";

std::string local(std::uint16_t port)
{
    return "127.0.0.1:" + std::to_string(port);
}

/// Starts a call and returns its result when there is one.
template<class Service>
std::future<result_of<Service>>
start_call(rpc_thread& thread, std::string address,
           typename Service::request request, time_ms timeout = 60000_ms)
{
    auto const promise = std::make_shared<std::promise<result_of<Service>>>();
    call<Service>(thread, std::move(address), std::move(request), timeout,
                  [promise](result_of<Service> result) {
                      promise->set_value(std::move(result));
                  });
    return promise->get_future();
}

std::future<store_result> read_key(rpc_thread& thread, std::string address,
                                   std::string key, time_ms timeout = 60000_ms)
{
    return start_call<store_service>(thread, std::move(address),
                                     read_request{std::move(key)}, timeout);
}

std::string key_of(store_request const& request)
{
    return std::get<read_request>(request).prefix;
}

/// Answers with the revision 7.
void answer_seven(store_responder const& answer)
{
    store_reply reply;
    reply.revision = 7;
    answer(reply);
}

std::uint16_t serve_seven(rpc_thread& thread, std::string const& address)
{
    return serve<store_service>(
        thread, address,
        [](store_request const&, auto const& answer) { answer_seven(answer); });
}

std::uint64_t revision_of(store_result const& result)
{
    return std::get<store_reply>(result).revision;
}

bool never_sent(store_result const& result)
{
    return std::get<rpc_failure>(result).never_sent;
}

/// A TCP socket with an address; it refuses connections until it listens, and
/// then it never answers.
class mute_socket
{
public:
    explicit mute_socket(bool listening) : fd_(socket(AF_INET, SOCK_STREAM, 0))
    {
        auto any = parse_endpoint(any_port);
        auto* const address = reinterpret_cast<sockaddr*>(&any.address);
        if (bind(fd_, address, any.size) != 0
            || (listening && listen(fd_, 16) != 0)
            || getsockname(fd_, address, &any.size) != 0)
        {
            throw net_error("cannot bind");
        }
        port_ = ntohs(reinterpret_cast<sockaddr_in*>(address)->sin_port);
    }
    mute_socket(mute_socket const&) = delete;
    mute_socket& operator=(mute_socket const&) = delete;
    ~mute_socket() { close(fd_); }

    std::string address() const { return local(port_); }

private:
    int fd_;
    std::uint16_t port_ = 0;
};

} // namespace

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

// Guards against unbounded memory for a peer that does not answer.
TEST(rpc, calls_in_flight_are_bounded)
{
    rpc_thread thread;
    mute_socket const mute(true);
    std::vector<std::future<store_result>> open;
    for (std::size_t i = 0; i < max_calls; ++i)
    {
        open.push_back(read_key(thread, mute.address(), "x"));
    }
    EXPECT_TRUE(never_sent(read_key(thread, mute.address(), "x").get()));
    thread.stop();
}

// Guards against a bad message ending the process or its connection.
TEST(rpc, bad_message_fails_its_call_alone)
{
    rpc_thread thread;
    auto const port = serve<worker_service>(
        thread, any_port, [](worker_request const&, auto const& answer) {
            answer(worker_reply{});
        });
    capnp::EzRpcClient client("127.0.0.1", port);
    auto worker = client.getMain<schema::Worker>();
    auto const send = [&worker](unsigned action) {
        auto request = worker.callRequest();
        request.initRequest().initControl().setAction(
            static_cast<schema::TaskAction>(action));
        return request.send();
    };
    EXPECT_THROW(send(99).wait(client.getWaitScope()), kj::Exception);
    EXPECT_NO_THROW(send(1).wait(client.getWaitScope()));
}

// Guards against answers over the limit, which the caller would refuse together
// with its whole connection.
TEST(rpc, oversized_answer_fails_its_call_alone)
{
    rpc_thread thread;
    auto const port = serve<store_service>(
        thread, any_port, [](store_request const& request, auto const& answer) {
            store_reply reply;
            reply.revision = 7;
            if (key_of(request) == "large")
            {
                store_entry entry;
                entry.value.assign(12U << 20, 'v');
                reply.entries.assign(6, entry);
            }
            answer(std::move(reply));
        });
    EXPECT_FALSE(never_sent(read_key(thread, local(port), "large").get()));
    EXPECT_EQ(revision_of(read_key(thread, local(port), "x").get()), 7U);
}

// Guards against a server that claims to serve where it cannot.
TEST(rpc, address_in_use_is_an_error)
{
    rpc_thread thread;
    auto const port = serve_seven(thread, any_port);
    EXPECT_THROW(serve_seven(thread, local(port)), net_error);
    EXPECT_THROW(serve_seven(thread, "localhost:1"), net_error);
}

} // namespace jaydrift::net
