#ifndef JAYDRIFT_NET_HTTP_TEST_CLIENT_HPP
#define JAYDRIFT_NET_HTTP_TEST_CLIENT_HPP

#include "http_socket.hpp"
#include "poll_until.hpp"
#include "tcp_socket.hpp"

#include <jaydrift/net/http_post.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

/// Clients for the tests of HTTP servers.
namespace jaydrift::net {

using namespace literals;

/// Bounds the waits of a test that would hang on a fault otherwise.
inline constexpr auto test_timeout = 60000_ms;

/// Returns the loopback address with a port.
inline std::string local_address(std::uint16_t port)
{
    return "127.0.0.1:" + std::to_string(port);
}

/// Posts a body to a server on this host; throws if there is no response.
inline http_response post(std::uint16_t port, std::string_view path,
                          std::string_view body,
                          http_headers const& headers = {})
{
    return std::get<http_response>(
        http_post(local_address(port), path, headers, body, test_timeout));
}

/// Client that writes bytes as they are, so that a test can send malformed
/// requests.
class raw_client
{
public:
    explicit raw_client(std::uint16_t port)
        : socket_(
            connect_to(local_address(port), monotonic_now() + test_timeout),
            test_timeout, test_timeout)
    {
        socket_.set_deadline(monotonic_now() + test_timeout);
        socket_.set_read_limit(std::size_t{1} << 30, 413);
    }

    /// Sends the bytes, as many as the server takes.
    void send(std::string_view bytes)
    {
        while (!bytes.empty())
        {
            auto const size = socket_.write(bytes);
            if (size <= 0)
            {
                return; // the server has closed, as `read_to_end` will show
            }
            bytes.remove_prefix(static_cast<std::size_t>(size));
        }
    }

    /// Reads until the server closes the connection.
    std::string read_to_end()
    {
        std::string received;
        std::array<char, 4096> buffer;
        for (;;)
        {
            auto const size = socket_.read(buffer);
            if (size <= 0)
            {
                return received;
            }
            received.append(buffer.data(), static_cast<std::size_t>(size));
        }
    }

    /// Reads the status line and the headers of a response.
    std::string read_headers()
    {
        std::string received;
        char character = 0;
        while (!received.ends_with("\r\n\r\n")
               && socket_.read({&character, 1}) > 0)
        {
            received += character;
        }
        return received;
    }

private:
    http_socket socket_;
};

} // namespace jaydrift::net

#endif // JAYDRIFT_NET_HTTP_TEST_CLIENT_HPP
