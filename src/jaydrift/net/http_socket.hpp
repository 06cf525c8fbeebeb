#ifndef JAYDRIFT_NET_HTTP_SOCKET_HPP
#define JAYDRIFT_NET_HTTP_SOCKET_HPP

#include "unique_fd.hpp"

#include <jaydrift/core/time_ms.hpp>

#include <sys/types.h>

#include <array>
#include <cstddef>
#include <initializer_list>
#include <span>
#include <string_view>

namespace jaydrift::net {

/// TCP connection with a read buffer, and with limits on time and bytes. Owns
/// the socket, which must be non-blocking.
///
/// Before the first read or write, `set_deadline` must be called, and before
/// the first read `set_read_limit`.
class http_socket
{
public:
    /// The timeouts bound the wait of a single read or write.
    http_socket(unique_fd socket, time_ms read_timeout, time_ms write_timeout);

    /// Waits for the first byte of a request. Returns false if the connection
    /// ended, `timeout` passed or one of `interrupt_fds` became readable first.
    /// Ignores the deadline.
    bool wait_for_request(time_ms timeout,
                          std::initializer_list<int> interrupt_fds);

    /// Sets when reads and writes give up, on the clock of `monotonic_now`.
    void set_deadline(time_ms deadline) { deadline_ = deadline; }

    /// Sets how many bytes may still be read. A read beyond them is refused
    /// with the HTTP status `status`.
    void set_read_limit(std::size_t bytes, int status);

    /// Reads some bytes and returns their number; 0 at the end of the stream
    /// and -1 on an error.
    ///
    /// @throws http_refusal with status 408 if no byte arrives in time, or if
    /// the limit of bytes is exceeded.
    ssize_t read(std::span<char> out);

    /// Writes some bytes and returns their number; -1 on an error or a timeout.
    ssize_t write(std::string_view bytes);

    /// Waits until bytes can be written; false on a timeout or an error.
    bool wait_writable();

    /// Ends the sent stream, and discards what the client still sends for a
    /// limited time. Closing with unread bytes would reset the connection, and
    /// the client could lose the response.
    void linger();

private:
    bool wait_for_events(short events);
    /// Replaces the content of the buffer with the bytes that have arrived, and
    /// returns their number; 0 at the end of the stream and -1 on an error.
    ssize_t fill_buffer();

    unique_fd socket_;
    time_ms read_timeout_;
    time_ms write_timeout_;
    time_ms deadline_;
    std::size_t bytes_left_ = 0;
    int limit_status_ = 0;
    std::array<char, 16384> buffer_;
    /// Bytes of the buffer that have not been read yet.
    std::size_t buffer_begin_ = 0;
    std::size_t buffer_end_ = 0;
};

} // namespace jaydrift::net

#endif // JAYDRIFT_NET_HTTP_SOCKET_HPP
