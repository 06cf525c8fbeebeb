#ifndef JAYDRIFT_NET_WORK_QUEUE_HPP
#define JAYDRIFT_NET_WORK_QUEUE_HPP

#include <functional>
#include <mutex>
#include <vector>

namespace jaydrift::net {

/// Work that other threads hand to an event loop. An eventfd becomes readable
/// when there is some.
class work_queue
{
public:
    using work = std::function<void()>;

    /// @throws net_error if there are no file descriptors left.
    work_queue();
    work_queue(work_queue const&) = delete;
    work_queue& operator=(work_queue const&) = delete;
    ~work_queue();

    /// Appends work; destroys it unrun if the queue is closed.
    void post(work item);

    /// Takes all work that is waiting.
    std::vector<work> take();

    /// Refuses work from now on and wakes the loop, which sees `closed`.
    void close();
    bool closed() const;

    /// The eventfd, which the queue closes when it is destroyed.
    int wake_fd() const { return wake_fd_; }

private:
    void wake() const;

    int wake_fd_;
    mutable std::mutex mutex_;
    std::vector<work> items_;
    bool closed_ = false;
};

} // namespace jaydrift::net

#endif // JAYDRIFT_NET_WORK_QUEUE_HPP
