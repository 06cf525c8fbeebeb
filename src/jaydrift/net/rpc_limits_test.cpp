#include "rpc_limits.hpp"

#include "rpc_test_client.hpp"

#include <jaydrift.capnp.h>

#include <capnp/ez-rpc.h>
#include <gtest/gtest.h>

#include <future>
#include <string>
#include <utility>
#include <vector>

namespace jaydrift::net {

// Guards against unbounded memory for a peer that does not answer.
TEST(rpc_limits, calls_in_flight_are_bounded)
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
TEST(rpc_limits, bad_message_fails_its_call_alone)
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
TEST(rpc_limits, oversized_answer_fails_its_call_alone)
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
TEST(rpc_limits, address_in_use_is_an_error)
{
    rpc_thread thread;
    auto const port = serve_seven(thread, any_port);
    EXPECT_THROW(serve_seven(thread, local(port)), net_error);
    EXPECT_THROW(serve_seven(thread, "localhost:1"), net_error);
}

} // namespace jaydrift::net
