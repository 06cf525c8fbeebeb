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
            return; // the first item woke the loop, which takes all at once
        }
    }
    wake_event_.set();
}

std::vector<work_queue::work> work_queue::take_all()
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
    wake_event_.set();
}

bool work_queue::closed() const
{
    std::lock_guard const lock(mutex_);
    return closed_;
}

} // namespace jaydrift::net
