#include <jaydrift/net/http_post.hpp>

#include "http_protocol.hpp"
#include "http_socket.hpp"
#include "poll_until.hpp"
#include "tcp_socket.hpp"

#include <jaydrift/net/body_checksum.hpp>
#include <jaydrift/net/net_error.hpp>

#include <utility>

namespace jaydrift::net {

namespace {

/// Largest response: a body of 16 MiB and 64 KiB of headers.
constexpr std::size_t max_response_bytes =
    (std::size_t{16} << 20) + (64U << 10);

} // namespace

rpc_result<http_response> http_post(std::string_view address,
                                    std::string_view path,
                                    http_headers const& headers,
                                    std::string_view body, time_ms timeout)
{
    auto const deadline = monotonic_now() + timeout;
    bool connected = false;
    try
    {
        http_socket socket(connect_to(address, deadline), timeout, timeout);
        connected = true;
        socket.set_deadline(deadline);
        socket.set_read_limit(max_response_bytes, 413);
        auto response = send_post(socket, address, path, headers, body);
        auto const checksum = response.header(checksum_header);
        if (checksum && *checksum != body_checksum(response.body))
        {
            return rpc_failure{false,
                               "the response body does not match its checksum"};
        }
        return response;
    }
    catch (net_error const& error)
    {
        return rpc_failure{!connected, error.what()};
    }
}

} // namespace jaydrift::net
