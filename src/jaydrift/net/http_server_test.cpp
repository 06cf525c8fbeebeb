#include <jaydrift/net/http_server.hpp>

#include "http_test_client.hpp"

#include <jaydrift/net/body_checksum.hpp>

#include <gtest/gtest.h>

#include <sys/socket.h>

#include <atomic>
#include <future>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace jaydrift::net {

namespace {

/// Sends bytes on a new connection and returns the status line of the answer.
std::string status_of(std::uint16_t port, std::string_view bytes)
{
    raw_client client(port);
    client.send(bytes);
    auto const all = client.answer();
    return all.substr(0, all.find("\r\n"));
}

} // namespace

// Guards against input that holds memory or a thread, or that is taken for a
// request although it was cut.
TEST(http_server, malformed_input_is_refused)
{
    http_settings settings;
    settings.max_body = 1000;
    settings.read_timeout = 200_ms;
    std::atomic<int> handled = 0;
    http_server server(settings, [&handled](http_request const& request) {
        ++handled;
        return http_response{200, {}, request.body};
    });
    auto const status = [&server](std::string_view bytes) {
        return status_of(server.port(), bytes).substr(0, 12);
    };
    std::string const start = "POST / HTTP/1.1\r\n";
    // The body is never sent: the length alone must be refused.
    EXPECT_EQ(status(start + "Content-Length: 1001\r\n\r\n"), "HTTP/1.1 413");
    EXPECT_EQ(status(start + "Content-Length: 99999999999999999999\r\n\r\n"),
              "HTTP/1.1 413");
    EXPECT_EQ(status(start + "Transfer-Encoding: chunked\r\n\r\n7d0\r\n"
                     + std::string(2000, 'x') + "\r\n0\r\n\r\n"),
              "HTTP/1.1 413");
    EXPECT_EQ(status(start + "Content-Length: -1\r\n\r\n"), "HTTP/1.1 400");
    EXPECT_EQ(status(start + "Content-Encoding: gzip\r\n\r\n"), "HTTP/1.1 415");
    EXPECT_EQ(status(start + "X: " + std::string(8000, 'x') + "\r\n"
                     + std::string(70000, 'y')),
              "HTTP/1.1 431");
    EXPECT_EQ(status("GET /" + std::string(3000, 'a') + " HTTP/1.1\r\n\r\n"),
              "HTTP/1.1 414");
    EXPECT_EQ(status("nonsense\r\n\r\n"), "HTTP/1.1 400");
    // Truncated: the rest does not come.
    EXPECT_EQ(status(start + "Content-Length: 10\r\n\r\nabc"), "HTTP/1.1 408");
    EXPECT_EQ(status(start + "Content-Le"), "HTTP/1.1 408");
    EXPECT_EQ(handled, 0);
    EXPECT_EQ(post(server.port(), "/", std::string(1000, 'x')).status, 200);
}

// Guards against a connection that loses its place between two requests.
TEST(http_server, keeps_connections_open)
{
    http_server server({}, [](http_request const& request) {
        return http_response{204, {{"Echo", request.path}}, ""};
    });
    raw_client client(server.port());
    client.send("POST /a HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc"
                "POST /b HTTP/1.1\r\n\r\nGET /c%20d HTTP/1.1\r\n\r\n");
    EXPECT_NE(client.headers().find("Echo: /a\r\n"), std::string::npos);
    EXPECT_NE(client.headers().find("Echo: /b\r\n"), std::string::npos);
    EXPECT_NE(client.headers().find("Echo: /c d\r\n"), std::string::npos);
}

// Guards against a query that is lost, left encoded or taken for a part of the
// path.
TEST(http_server, query_is_told_apart_from_the_path)
{
    http_server server({}, [](http_request const& request) {
        auto text = request.path;
        for (auto const& [name, value] : request.parameters)
        {
            text += ' ' + name + ' ' + value;
        }
        return http_response{200, {}, text};
    });
    EXPECT_EQ(post(server.port(), "/a/b?value=1,2&x=y", "c=d").body,
              "/a/b value 1,2 x y");
    EXPECT_EQ(post(server.port(), "/a", "").body, "/a");
}

// Guards against a stop that cuts off a request in flight.
TEST(http_server, stop_waits_for_requests_in_flight)
{
    std::promise<void> arrived;
    std::promise<void> go_on;
    http_server server({}, [&](http_request const&) {
        arrived.set_value();
        go_on.get_future().wait();
        return http_response{200, {}, "whole"};
    });
    auto answer = std::async(std::launch::async, [port = server.port()] {
        return post(port, "/", "").body;
    });
    raw_client idle(server.port());
    arrived.get_future().wait();
    server.stop_accepting();
    EXPECT_TRUE(std::get<rpc_failure>(
                    http_post(local(server.port()), "/", {}, "", patience))
                    .never_sent);
    auto stopped = std::async(std::launch::async, [&server] { server.stop(); });
    EXPECT_EQ(idle.answer(), ""); // closed, so `stop` is under way
    go_on.set_value();
    EXPECT_EQ(answer.get(), "whole");
    stopped.get();
}

// Guards against idle connections that keep others from being served, and
// against connections without bound.
TEST(http_server, threads_leave_idle_connections)
{
    http_settings settings;
    settings.threads = 1;
    http_server server(settings, [](http_request const&) {
        return http_response{204, {}, ""};
    });
    raw_client idle(server.port());
    idle.send("GET / HTTP/1.1\r\n\r\n");
    EXPECT_TRUE(idle.headers().starts_with("HTTP/1.1 204"));
    EXPECT_EQ(post(server.port(), "/", "").status, 204);
    EXPECT_EQ(idle.answer(), "");
}

// Guards against overload that is not told to the client.
TEST(http_server, too_many_connections_are_shed)
{
    http_settings settings;
    settings.threads = 1;
    std::promise<void> arrived;
    std::promise<void> go_on;
    http_server server(settings, [&](http_request const&) {
        arrived.set_value();
        go_on.get_future().wait();
        return http_response{};
    });
    raw_client busy(server.port());
    busy.send("GET / HTTP/1.1\r\nConnection: close\r\n\r\n");
    arrived.get_future().wait();
    std::vector<std::unique_ptr<raw_client>> waiting;
    for (int i = 0; i < 4; ++i)
    {
        waiting.push_back(std::make_unique<raw_client>(server.port()));
    }
    raw_client shed(server.port());
    EXPECT_TRUE(shed.answer().starts_with("HTTP/1.1 503"));
    go_on.set_value();
    EXPECT_TRUE(busy.answer().starts_with("HTTP/1.1 200"));
}

// Guards against a wrong report of whether a request may have arrived.
TEST(http_post, tells_whether_the_request_may_have_arrived)
{
    auto const never_sent = [](rpc_result<http_response> const& result) {
        return std::get<rpc_failure>(result).never_sent;
    };
    auto const listener = listen_on("127.0.0.1:0");
    auto const address = local(bound_port(listener));
    // Connected through the backlog, but never answered.
    EXPECT_FALSE(never_sent(http_post(address, "/", {}, "", 100_ms)));
    EXPECT_TRUE(never_sent(http_post("127.0.0.1:x", "/", {}, "", patience)));

    std::promise<void> arrived;
    std::promise<void> go_on;
    http_server server({}, [&](http_request const&) {
        arrived.set_value();
        go_on.get_future().wait();
        return http_response{};
    });
    EXPECT_FALSE(
        never_sent(http_post(local(server.port()), "/", {}, "", 100_ms)));
    arrived.get_future().wait();
    go_on.set_value();
}

// Guards against a truncated answer that is taken for a whole one.
TEST(http_post, truncated_answer_is_an_error)
{
    auto const listener = listen_on("127.0.0.1:0");
    auto result = std::async(std::launch::async, [&listener] {
        return http_post(local(bound_port(listener)), "/", {}, "", patience);
    });
    std::array waits{pollfd{listener.value(), POLLIN, 0}};
    ASSERT_TRUE(poll_until(waits, socket_now() + patience));
    {
        unique_fd const client(accept(listener.value(), nullptr, nullptr));
        std::string const cut =
            "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc";
        EXPECT_EQ(write(client.value(), cut.data(), cut.size()),
                  static_cast<ssize_t>(cut.size()));
    }
    EXPECT_FALSE(std::get<rpc_failure>(result.get()).never_sent);
}

// Guards against a corrupted answer that is taken for a result.
TEST(http_post, answer_with_a_wrong_checksum_is_an_error)
{
    http_server server({}, [](http_request const& request) {
        return http_response{
            200, {{checksum_header, body_checksum("abc")}}, request.body};
    });
    EXPECT_EQ(post(server.port(), "/", "abc").body, "abc");
    EXPECT_FALSE(std::get<rpc_failure>(
                     http_post(local(server.port()), "/", {}, "abd", patience))
                     .never_sent);
}

} // namespace jaydrift::net
