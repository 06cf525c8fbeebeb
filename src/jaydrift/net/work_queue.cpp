#include "work_queue.hpp"

#include <jaydrift/net/net_error.hpp>

#include <sys/eventfd.h>
#include <unistd.h>

#include <cstdint>
#include <utility>

namespace jaydrift::net {

work_queue::work_queue() : wake_fd_(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK))
{
    if (wake_fd_ < 0)
    {
        throw net_error("cannot open an eventfd");
    }
}

work_queue::~work_queue() { ::close(wake_fd_); }

void work_queue::post(work item)
{
    {
        std::lock_guard const lock(mutex_);
        if (closed_)
        {
            return;
        }
        items_.push_back(std::move(item));
        if (items_.size() > 1)
        {
            return; // the loop has been woken and takes all items at once
        }
    }
    wake();
}

std::vector<work_queue::work> work_queue::take()
{
    std::lock_guard const lock(mutex_);
    return std::exchange(items_, {});
}

void work_queue::close()
{
    {
        std::lock_guard const lock(mutex_);
        closed_ = true;
    }
    wake();
}

bool work_queue::closed() const
{
    std::lock_guard const lock(mutex_);
    return closed_;
}

void work_queue::wake() const
{
    std::uint64_t const one = 1;
    // Fails only if the counter is full, and then the loop is awake already.
    [[maybe_unused]] auto const written = write(wake_fd_, &one, sizeof one);
}

} // namespace jaydrift::net
