#ifndef JAYDRIFT_NET_WORK_QUEUE_HPP
#define JAYDRIFT_NET_WORK_QUEUE_HPP

#include "wake_event.hpp"

#include <functional>
#include <mutex>
#include <vector>

namespace jaydrift::net {

/// Work that other threads hand to an event loop. All functions may be called
/// on any thread.
class work_queue
{
public:
    using work = std::function<void()>;

    /// Appends work; if the queue is closed, destroys it without running it.
    void post(work item);

    /// Removes all work from the queue and returns it, oldest first.
    std::vector<work> take_all();

    /// Refuses work from now on and wakes the loop, which then finds `closed`
    /// true.
    void close();
    bool closed() const;

    /// An eventfd, owned by the queue, that becomes readable when there is work
    /// or the queue is closed. The loop must read it before it calls
    /// `take_all`.
    int wake_fd() const { return wake_event_.fd(); }

private:
    wake_event wake_event_;
    mutable std::mutex mutex_;
    std::vector<work> items_;
    bool closed_ = false;
};

} // namespace jaydrift::net

#endif // JAYDRIFT_NET_WORK_QUEUE_HPP
