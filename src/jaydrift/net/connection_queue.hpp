#ifndef JAYDRIFT_NET_CONNECTION_QUEUE_HPP
#define JAYDRIFT_NET_CONNECTION_QUEUE_HPP

#include "unique_fd.hpp"
#include "wake_event.hpp"

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <mutex>

namespace jaydrift::net {

/// Accepted connections that wait for a thread of a fixed pool.
class connection_queue
{
public:
    explicit connection_queue(std::size_t capacity) : capacity_(capacity) {}

    /// Appends a connection, or leaves it as it is if the queue is full.
    bool try_push(unique_fd& connection);

    /// Waits for a connection. After `close`, returns an invalid one when the
    /// queue is empty.
    unique_fd pop();

    void close();

    /// Readable while connections wait and no thread is free, so that a thread
    /// leaves an idle connection for one that waits.
    int pressure_fd() const { return pressure_.fd(); }

private:
    std::size_t const capacity_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::deque<unique_fd> connections_;
    std::size_t free_threads_ = 0;
    bool closed_ = false;
    wake_event pressure_;
};

} // namespace jaydrift::net

#endif // JAYDRIFT_NET_CONNECTION_QUEUE_HPP
