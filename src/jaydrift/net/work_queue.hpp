#ifndef JAYDRIFT_NET_WORK_QUEUE_HPP
#define JAYDRIFT_NET_WORK_QUEUE_HPP

#include "wake_event.hpp"

#include <functional>
#include <mutex>
#include <vector>

namespace jaydrift::net {

/// Work that other threads hand to an event loop.
class work_queue
{
public:
    using work = std::function<void()>;

    /// Appends work; destroys it unrun if the queue is closed.
    void post(work item);

    /// Takes all work that is waiting.
    std::vector<work> take();

    /// Refuses work from now on and wakes the loop, which sees `closed`.
    void close();
    bool closed() const;

    /// Becomes readable when there is work or the queue is closed.
    int wake_fd() const { return wake_.fd(); }

private:
    wake_event wake_;
    mutable std::mutex mutex_;
    std::vector<work> items_;
    bool closed_ = false;
};

} // namespace jaydrift::net

#endif // JAYDRIFT_NET_WORK_QUEUE_HPP
