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

/// Bounds waits in tests that would otherwise hang on a fault.
inline constexpr auto patience = 60000_ms;

inline std::string local(std::uint16_t port)
{
    return "127.0.0.1:" + std::to_string(port);
}

inline http_response post(std::uint16_t port, std::string_view path,
                          std::string_view body,
                          http_headers const& headers = {})
{
    return std::get<http_response>(
        http_post(local(port), path, headers, body, patience));
}

/// A client that writes bytes as they are.
class raw_client
{
public:
    explicit raw_client(std::uint16_t port)
        : socket_(connect_to(local(port), socket_now() + patience), patience,
                  patience)
    {
        socket_.set_deadline(socket_now() + patience);
        socket_.set_budget(std::size_t{1} << 30, 413);
    }

    void send(std::string_view bytes)
    {
        while (!bytes.empty())
        {
            auto const size = socket_.write(bytes);
            if (size <= 0)
            {
                return; // the server has closed, which `answer` shows
            }
            bytes.remove_prefix(static_cast<std::size_t>(size));
        }
    }

    /// Reads until the server closes the connection.
    std::string answer()
    {
        std::string all;
        std::array<char, 4096> buffer;
        for (;;)
        {
            auto const size = socket_.read(buffer);
            if (size <= 0)
            {
                return all;
            }
            all.append(buffer.data(), static_cast<std::size_t>(size));
        }
    }

    /// Reads the headers of an answer without a body.
    std::string headers()
    {
        std::string all;
        char letter = 0;
        while (!all.ends_with("\r\n\r\n") && socket_.read({&letter, 1}) > 0)
        {
            all += letter;
        }
        return all;
    }

private:
    http_socket socket_;
};

} // namespace jaydrift::net

#endif // JAYDRIFT_NET_HTTP_TEST_CLIENT_HPP
