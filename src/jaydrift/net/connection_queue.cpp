#include "connection_queue.hpp"

#include <utility>

namespace jaydrift::net {

bool connection_queue::try_push(unique_fd& connection)
{
    {
        std::lock_guard const lock(mutex_);
        if (connections_.size() >= capacity_ + free_threads_)
        {
            return false;
        }
        connections_.push_back(std::move(connection));
        if (connections_.size() > free_threads_)
        {
            backlog_event_.set();
        }
    }
    changed_.notify_one();
    return true;
}

unique_fd connection_queue::pop()
{
    std::unique_lock lock(mutex_);
    ++free_threads_;
    changed_.wait(lock, [this] { return closed_ || !connections_.empty(); });
    --free_threads_;
    if (connections_.empty())
    {
        return {};
    }
    auto connection = std::move(connections_.front());
    connections_.pop_front();
    if (connections_.size() <= free_threads_)
    {
        backlog_event_.clear();
    }
    return connection;
}

void connection_queue::close()
{
    {
        std::lock_guard const lock(mutex_);
        closed_ = true;
    }
    changed_.notify_all();
}

} // namespace jaydrift::net
