#ifndef JAYDRIFT_NET_HTTP_SETTINGS_HPP
#define JAYDRIFT_NET_HTTP_SETTINGS_HPP

#include <jaydrift/core/time_ms.hpp>

#include <cstddef>
#include <string>

namespace jaydrift::net {

/// Settings of an HTTP server.
struct http_settings
{
    /// `ip:port` to listen on; with port 0, the kernel chooses the port.
    std::string address = "127.0.0.1:0";
    /// Threads that serve connections. A thread serves one connection at a time
    /// and runs the handler too.
    std::size_t threads = 64;
    /// Largest body of a request. One whose `Content-Length` is larger is
    /// refused before the body is read.
    std::size_t max_body_bytes = std::size_t{16} << 20;
    /// Longest wait for a client to send its next bytes.
    time_ms read_timeout{5000};
    /// Longest wait for a client to accept the next bytes of a response.
    time_ms write_timeout{5000};
    /// Longest time to read a whole request, and to write a whole response.
    time_ms transfer_timeout{30000};
};

} // namespace jaydrift::net

#endif // JAYDRIFT_NET_HTTP_SETTINGS_HPP
