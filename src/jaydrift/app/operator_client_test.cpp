#include <jaydrift/app/operator_client.hpp>

#include <map>
#include <sstream>

#include <gtest/gtest.h>

#include <jaydrift/app/operator_commands.hpp>
#include <jaydrift/app/operator_text.hpp>

namespace jaydrift::app {

using namespace literals;

namespace {

/// Gives prepared results and keeps the calls.
struct fake_transport
{
    net::rpc_result<operator_reply>
    call(std::string const& address, operator_request const& request, time_ms)
    {
        calls.push_back(address + ' ' + std::get<undo_policy>(request).token);
        auto result = results.front();
        results.erase(results.begin());
        return result;
    }

    std::vector<net::rpc_result<operator_reply>> results;
    std::vector<std::string> calls;
};

net::rpc_failure const unreachable{true, "refused"};
net::rpc_failure const lost{false, "timed out"};

struct operator_client_test : testing::Test
{
    operator_reply call() { return client.call(undo_policy{4, "t1"}); }

    fake_transport transport;
    int notices = 0;
    operator_client<fake_transport> client{
        transport, {"a", "b"}, 10_ms, [this](std::string_view) { ++notices; }};
};

} // namespace

// Guards against a daemon that is down and keeps the operators out.
TEST_F(operator_client_test, tries_the_next_daemon_if_nothing_was_sent)
{
    transport.results = {unreachable, operator_reply()};
    call();
    EXPECT_EQ(transport.calls, (std::vector<std::string>{"a t1", "b t1"}));
    EXPECT_EQ(notices, 0);
}

// Guards against a lost answer after which the change is made twice.
TEST_F(operator_client_test, repeats_a_lost_call_with_the_same_token)
{
    transport.results = {lost, unreachable, lost, operator_reply()};
    call();
    EXPECT_EQ(transport.calls,
              (std::vector<std::string>{"a t1", "a t1", "b t1", "b t1"}));
    EXPECT_EQ(notices, 2);
}

// Guards against a lost call that is reported as one that changed nothing.
TEST_F(operator_client_test, says_that_a_lost_call_may_have_taken_effect)
{
    transport.results = {lost, lost, lost};
    try
    {
        call();
        ADD_FAILURE();
    }
    catch (operator_error const& fault)
    {
        EXPECT_STREQ(fault.what(), "no answer arrived (timed out), so the "
                                   "command may have taken effect");
    }
    transport.results = {unreachable, unreachable};
    EXPECT_THROW(call(), operator_error);
}

// Guards against errors that do not say how to go on.
TEST(operator_text, failures_say_what_to_do)
{
    operator_reply reply;
    reply.status = call_status::conflict;
    reply.version = 12;
    EXPECT_EQ(failure_line(reply, "t1"),
              "conflict: the current version is 12; see `jaydriftctl policy "
              "show` and repeat with --based-on 12");
    reply.status = call_status::pending;
    reply.reason = "north/2\nhas not acknowledged";
    EXPECT_EQ(failure_line(reply, "t1"),
              "pending: north/2 has not acknowledged; repeat the command with "
              "--token t1 to learn its result");
}

// Guards against a mistyped command that ends with success.
TEST(operator_commands, usage_errors_have_status_2)
{
    std::ostringstream output;
    std::ostringstream errors;
    auto const run = [&](std::vector<char const*> words) {
        return run_operator_command(words, "1", output, errors);
    };
    EXPECT_EQ(run({}), 2);
    EXPECT_EQ(run({"policy", "erase"}), 2);
    EXPECT_EQ(run({"policy", "undo"}), 2);
    EXPECT_EQ(run({"zone", "close"}), 2);
    EXPECT_EQ(output.str(), "");
    EXPECT_EQ(run({"--help"}), 0);
    EXPECT_EQ(run({"policy", "undo", "--help"}), 0);
    EXPECT_NE(output.str().find("--based-on"), std::string::npos);
}

} // namespace jaydrift::app
