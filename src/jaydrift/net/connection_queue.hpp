#ifndef JAYDRIFT_NET_CONNECTION_QUEUE_HPP
#define JAYDRIFT_NET_CONNECTION_QUEUE_HPP

#include "unique_fd.hpp"
#include "wake_event.hpp"

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <mutex>

namespace jaydrift::net {

/// Queue of accepted connections that wait for a thread of a fixed pool.
///
/// All functions may be called from any thread.
class connection_queue
{
public:
    /// `capacity`: connections that may wait while no thread is free.
    explicit connection_queue(std::size_t capacity) : capacity_(capacity) {}

    /// Takes over a connection. Returns false and leaves the connection with
    /// the caller if the queue is full.
    bool try_push(unique_fd& connection);

    /// Waits for a connection and removes it. After `close`, returns the
    /// connections that are left, and then an invalid one.
    unique_fd pop();

    /// Ends the waits of all threads.
    void close();

    /// Descriptor that is readable while more connections wait than threads are
    /// free, so that a thread leaves an idle connection for a waiting one.
    int backlog_fd() const { return backlog_event_.fd(); }

private:
    std::size_t const capacity_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::deque<unique_fd> connections_;
    /// Threads that wait in `pop`.
    std::size_t free_threads_ = 0;
    bool closed_ = false;
    wake_event backlog_event_;
};

} // namespace jaydrift::net

#endif // JAYDRIFT_NET_CONNECTION_QUEUE_HPP
