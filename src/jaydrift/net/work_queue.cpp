#include "work_queue.hpp"

#include <utility>

namespace jaydrift::net {

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
    wake_.set();
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
    wake_.set();
}

bool work_queue::closed() const
{
    std::lock_guard const lock(mutex_);
    return closed_;
}

} // namespace jaydrift::net
