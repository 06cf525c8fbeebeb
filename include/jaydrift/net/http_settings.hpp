#ifndef JAYDRIFT_NET_HTTP_SETTINGS_HPP
#define JAYDRIFT_NET_HTTP_SETTINGS_HPP

#include <jaydrift/core/time_ms.hpp>

#include <cstddef>
#include <string>

namespace jaydrift::net {

/// Settings of an HTTP server.
struct http_settings
{
    /// `ip:port`; with port 0, the kernel chooses it.
    std::string address = "127.0.0.1:0";
    /// Threads that read requests, wait for their answers and write them.
    std::size_t threads = 64;
    /// Largest body in bytes; a larger one is refused before it is read.
    std::size_t max_body = std::size_t{16} << 20;
    /// Longest waits for a slow client to send or take the next bytes.
    time_ms read_timeout{5000};
    time_ms write_timeout{5000};
    /// Longest time for reading a whole request or writing a whole answer.
    time_ms transfer_timeout{30000};
};

} // namespace jaydrift::net

#endif // JAYDRIFT_NET_HTTP_SETTINGS_HPP
