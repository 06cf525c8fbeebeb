#ifndef JAYDRIFT_CORE_BOUNDED_QUEUE_HPP
#define JAYDRIFT_CORE_BOUNDED_QUEUE_HPP

#include <jaydrift/core/time_ms.hpp>

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <deque>
#include <mutex>
#include <optional>
#include <utility>

namespace jaydrift {

/// Queue between threads that holds a bounded number of items.
///
/// A full queue refuses an item, so that the sender can shed load. Every
/// function may be called on any thread.
template<class Item>
class bounded_queue
{
public:
    explicit bounded_queue(std::size_t capacity) : capacity_(capacity) {}

    /// Appends an item unless the queue is full. Returns false if it is.
    bool try_push(Item item)
    {
        {
            std::lock_guard const lock(mutex_);
            if (items_.size() >= capacity_)
            {
                return false;
            }
            items_.push_back(std::move(item));
        }
        changed_.notify_one();
        return true;
    }

    /// Appends an item even if the queue is full. For replies to requests that
    /// the reader itself has sent, whose number the reader bounds.
    void push(Item item)
    {
        {
            std::lock_guard const lock(mutex_);
            items_.push_back(std::move(item));
        }
        changed_.notify_one();
    }

    /// Waits at most `timeout` for an item; returns none if none arrives.
    std::optional<Item> pop(time_ms timeout)
    {
        std::unique_lock lock(mutex_);
        changed_.wait_for(lock, std::chrono::milliseconds(timeout.count()),
                          [this] { return !items_.empty(); });
        if (items_.empty())
        {
            return std::nullopt;
        }
        std::optional<Item> item(std::move(items_.front()));
        items_.pop_front();
        return item;
    }

    std::size_t size() const
    {
        std::lock_guard const lock(mutex_);
        return items_.size();
    }

private:
    std::size_t const capacity_;
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::deque<Item> items_;
};

} // namespace jaydrift

#endif // JAYDRIFT_CORE_BOUNDED_QUEUE_HPP
