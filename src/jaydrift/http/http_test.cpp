#include <jaydrift/http/client.hpp>
#include <jaydrift/http/datagram_socket.hpp>
#include <jaydrift/http/server.hpp>

#include <atomic>
#include <optional>
#include <thread>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

namespace jaydrift::http {

namespace {

/// Lets the system choose a free port.
constexpr char const* any_port = "127.0.0.1:0";

/// Runs the io_context until a condition holds, at most ten seconds.
template<class Condition>
void run_until(boost::asio::io_context& context, Condition condition)
{
    auto const end =
        std::chrono::steady_clock::now() + std::chrono::seconds(10);
    while (!condition() && std::chrono::steady_clock::now() < end)
    {
        context.run_one_for(std::chrono::milliseconds(100));
        context.restart();
    }
}

std::string address_of(server const& listening)
{
    return "127.0.0.1:" + std::to_string(listening.port());
}

request post(std::string body)
{
    request message;
    message.method = "POST";
    message.target = "/path?query=1";
    message.body = std::move(body);
    return message;
}

} // namespace

// Guards against responses that are truncated or mixed up on a persistent
// connection.
TEST(http, responses_are_whole_and_in_order_on_a_persistent_connection)
{
    boost::asio::io_context context;
    server echo(
        context, any_port,
        [](request message, server::responder const& respond) {
            respond({200, {{"X-Target", message.target}}, message.body});
        });
    client http_client(context);
    std::vector<std::string> bodies;
    std::string const large(900000, 'x');
    for (auto const& body : {std::string("a"), large, std::string()})
    {
        http_client.call(
            address_of(echo), "pool", 1, post(body), time_ms(5000),
            [&bodies](call_result result) {
                EXPECT_EQ(result.outcome, call_result::outcome_kind::answered);
                EXPECT_EQ(result.reply.header("x-target"), "/path?query=1");
                bodies.push_back(std::move(result.reply.body));
            });
    }
    run_until(context, [&bodies] { return bodies.size() == 3; });
    ASSERT_EQ(bodies.size(), 3U);
    EXPECT_EQ(bodies[0], "a");
    EXPECT_EQ(bodies[1], large);
    EXPECT_EQ(bodies[2], "");
}

// Guards against a call that is reported as not sent although it was sent.
TEST(http, a_silent_server_makes_the_call_lost)
{
    boost::asio::io_context context;
    std::vector<server::responder> held_responders;
    server silent(
        context, any_port,
        [&held_responders](request const&, server::responder respond) {
            held_responders.push_back(std::move(respond));
        });
    client http_client(context);
    std::optional<call_result> result;
    http_client.call(
        address_of(silent), "pool", 1, post("a"), time_ms(100),
        [&result](call_result ended) { result = std::move(ended); });
    run_until(context, [&result] { return result.has_value(); });
    ASSERT_TRUE(result);
    EXPECT_EQ(result->outcome, call_result::outcome_kind::lost);
}

// Guards against a call that stays open until its time limit although it is
// known that the server will not answer it, and against calls that end with it.
TEST(http, a_silent_call_can_be_ended_early)
{
    boost::asio::io_context context;
    std::vector<server::responder> held_responders;
    server silent(
        context, any_port,
        [&held_responders](request const&, server::responder respond) {
            held_responders.push_back(std::move(respond));
        });
    client http_client(context);
    std::optional<call_result> ended;
    std::optional<call_result> other;
    auto const number = http_client.call(
        address_of(silent), "pool", 1, post("a"), time_ms(60000),
        [&ended](call_result result) { ended = std::move(result); });
    http_client.call(
        address_of(silent), "other", 1, post("b"), time_ms(60000),
        [&other](call_result result) { other = std::move(result); });
    run_until(context,
              [&held_responders] { return held_responders.size() == 2; });
    http_client.end_if_silent(number, time_ms(30000));
    EXPECT_FALSE(ended);
    http_client.end_if_silent(number, time_ms(0));
    run_until(context, [&ended] { return ended.has_value(); });
    ASSERT_TRUE(ended);
    EXPECT_EQ(ended->outcome, call_result::outcome_kind::lost);
    EXPECT_FALSE(other);
}

// Guards against responses that are given up while they arrive, however slowly,
// and would be asked for again over the same slow link.
TEST(http, a_response_on_its_way_is_not_ended_as_silent)
{
    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor acceptor(
        context, {boost::asio::ip::make_address("127.0.0.1"), 0});
    boost::asio::ip::tcp::socket socket(context);
    auto connected = false;
    acceptor.async_accept(socket, [&](boost::system::error_code const& error) {
        ASSERT_FALSE(error);
        connected = true;
    });
    client http_client(context);
    std::optional<call_result> result;
    auto const number = http_client.call(
        "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()), "pool",
        1, post("a"), time_ms(60000),
        [&result](call_result ended) { result = std::move(ended); });
    run_until(context, [&connected] { return connected; });
    std::string const header = "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n";
    boost::asio::write(socket, boost::asio::buffer(header));
    constexpr time_ms silence{200};
    for (auto i = 0; i < 8; ++i)
    {
        EXPECT_FALSE(result);
        boost::asio::write(socket, boost::asio::buffer("x", 1));
        auto const end =
            std::chrono::steady_clock::now() + std::chrono::milliseconds(80);
        run_until(context,
                  [end] { return std::chrono::steady_clock::now() >= end; });
        http_client.end_if_silent(number, silence);
    }
    run_until(context, [&result] { return result.has_value(); });
    ASSERT_TRUE(result);
    EXPECT_EQ(result->outcome, call_result::outcome_kind::answered);
    EXPECT_EQ(result->reply.body, "xxxxxxxx");
}

// Guards against a lost call of which nobody can tell whether the server was
// silent or its response arrived slowly.
TEST(http, a_lost_call_tells_how_much_of_the_response_arrived)
{
    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor acceptor(
        context, {boost::asio::ip::make_address("127.0.0.1"), 0});
    boost::asio::ip::tcp::socket socket(context);
    std::string const part = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc";
    acceptor.async_accept(socket, [&](boost::system::error_code const& error) {
        ASSERT_FALSE(error);
        boost::asio::write(socket, boost::asio::buffer(part));
    });
    client http_client(context);
    std::optional<call_result> result;
    http_client.call(
        "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()), "pool",
        1, post("a"), time_ms(200),
        [&result](call_result ended) { result = std::move(ended); });
    run_until(context, [&result] { return result.has_value(); });
    ASSERT_TRUE(result);
    EXPECT_EQ(result->outcome, call_result::outcome_kind::lost);
    EXPECT_TRUE(result->progress.header_after);
    EXPECT_EQ(result->progress.received_bytes, 3U);
    EXPECT_EQ(result->progress.length_bytes, 10U);
}

// Guards against large bodies that are read in small pieces: a busy event loop
// then takes seconds for them, and a call that reads them fails again and
// again.
TEST(http, large_bodies_take_few_turns_of_the_event_loop)
{
    constexpr std::size_t body_bytes = 226000;
    constexpr std::size_t max_turns = 100;
    boost::asio::io_context server_context;
    std::size_t server_turns = 0;
    std::atomic<bool> answered = false;
    server echo(server_context, any_port,
                [](request message, server::responder const& respond) {
                    respond({200, {}, std::move(message.body)});
                });
    std::thread serving([&] {
        run_until(server_context, [&] {
            ++server_turns;
            return answered.load();
        });
    });
    boost::asio::io_context context;
    client http_client(context);
    std::size_t turns = 0;
    http_client.call(address_of(echo), "pool", 1,
                     post(std::string(body_bytes, 'x')), time_ms(9000),
                     [&](call_result const& result) {
                         EXPECT_EQ(result.reply.body.size(), body_bytes);
                         answered = true;
                     });
    run_until(context, [&] {
        ++turns;
        return answered.load();
    });
    serving.join();
    EXPECT_TRUE(answered);
    EXPECT_LT(turns, max_turns);
    EXPECT_LT(server_turns, max_turns);
}

// Guards against a call that waits for ever because another call gets no
// response on the only connection of the pool.
TEST(http, a_call_that_got_no_connection_is_not_sent)
{
    boost::asio::io_context context;
    std::vector<server::responder> held_responders;
    server silent(
        context, any_port,
        [&held_responders](request const&, server::responder respond) {
            held_responders.push_back(std::move(respond));
        });
    client http_client(context);
    std::vector<call_result::outcome_kind> ended;
    http_client.call(address_of(silent), "pool", 1, post("a"), time_ms(2000),
                     [](call_result const&) {});
    http_client.call(address_of(silent), "pool", 1, post("b"), time_ms(100),
                     [&ended](call_result const& result) {
                         ended.push_back(result.outcome);
                     });
    run_until(context, [&ended] { return !ended.empty(); });
    ASSERT_EQ(ended.size(), 1U);
    EXPECT_EQ(ended[0], call_result::outcome_kind::not_sent);
}

// Guards against a refused connection that is reported as lost: nothing listens
// there, so nothing was sent.
TEST(http, a_refused_connection_is_not_sent)
{
    boost::asio::io_context context;
    std::string address;
    {
        server gone(context, any_port,
                    [](request const&, server::responder const&) {});
        address = address_of(gone);
    }
    run_until(context, [&context] { return context.poll() == 0; });
    client http_client(context);
    std::optional<call_result> result;
    http_client.call(
        address, "pool", 1, post("a"), time_ms(2000),
        [&result](call_result ended) { result = std::move(ended); });
    run_until(context, [&result] { return result.has_value(); });
    ASSERT_TRUE(result);
    EXPECT_EQ(result->outcome, call_result::outcome_kind::not_sent);
}

// Another writer put a port out of range into a worker's entry. Guards against
// an address that ends the process when it is used.
TEST(http, a_call_to_an_unusable_address_is_not_sent)
{
    boost::asio::io_context context;
    client http_client(context);
    for (auto const* const address :
         {"", "10.0.0.9", "10.0.0.9:0", "10.0.0.9:65536", "10.0.0.9:-1",
          "10.0.0.9:http", "host.example:80", "::1:80", "[::1:80"})
    {
        std::optional<call_result> result;
        EXPECT_NO_THROW(http_client.call(
            address, "pool", 1, post("a"), time_ms(100),
            [&result](call_result ended) { result = std::move(ended); }))
            << address;
        run_until(context, [&result] { return result.has_value(); });
        ASSERT_TRUE(result) << address;
        EXPECT_EQ(result->outcome, call_result::outcome_kind::not_sent);
    }
}

// Guards against request bodies that exhaust the memory.
TEST(http, a_body_over_the_limit_is_refused)
{
    boost::asio::io_context context;
    auto called = false;
    server limited(context, any_port,
                   [&called](request const&, server::responder const& respond) {
                       called = true;
                       respond({200, {}, {}});
                   });
    client http_client(context);
    std::optional<call_result> result;
    http_client.call(
        address_of(limited), "pool", 1, post(std::string(2000000, 'x')),
        time_ms(5000),
        [&result](call_result ended) { result = std::move(ended); });
    run_until(context, [&result] { return result.has_value(); });
    ASSERT_TRUE(result);
    EXPECT_NE(result->reply.status, 200U);
    EXPECT_FALSE(called);
}

// Guards against a planned stop that cuts off a response, or keeps connections
// open after it.
TEST(http, closes_connections_after_their_next_response)
{
    boost::asio::io_context context;
    server stopping(context, any_port,
                    [](request const&, server::responder const& respond) {
                        respond({200, {}, {}});
                    });
    stopping.close_after_responses();
    client http_client(context);
    std::optional<call_result> result;
    http_client.call(
        address_of(stopping), "pool", 1, post("a"), time_ms(2000),
        [&result](call_result ended) { result = std::move(ended); });
    run_until(context, [&result] { return result.has_value(); });
    ASSERT_TRUE(result);
    EXPECT_EQ(result->reply.status, 200U);
    EXPECT_EQ(result->reply.header("connection"), "close");
}

// Guards against a member's address that ends the process when a heartbeat is
// sent there.
TEST(datagram_socket, drops_a_datagram_to_an_unusable_address)
{
    boost::asio::io_context context;
    datagram_socket sender(context, any_port,
                           [](std::string const&, std::string_view) {});
    for (auto const* const address :
         {"", "10.0.0.9", "127.0.0.1:0", "127.0.0.1:65536", "host.example:80",
          "[::1]:80"})
    {
        EXPECT_NO_THROW(sender.send(address, "hello")) << address;
    }
}

// Guards against datagrams whose content does not arrive.
TEST(datagram_socket, delivers_the_content)
{
    boost::asio::io_context context;
    std::string received;
    datagram_socket receiver(
        context, any_port,
        [&received](std::string const&, std::string_view content) {
            received = content;
        });
    datagram_socket sender(context, any_port,
                           [](std::string const&, std::string_view) {});
    sender.send("127.0.0.1:" + std::to_string(receiver.port()), "hello");
    run_until(context, [&received] { return !received.empty(); });
    EXPECT_EQ(received, "hello");
}

} // namespace jaydrift::http
