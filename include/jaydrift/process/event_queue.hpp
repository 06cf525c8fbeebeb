#ifndef JAYDRIFT_PROCESS_EVENT_QUEUE_HPP
#define JAYDRIFT_PROCESS_EVENT_QUEUE_HPP

#include <atomic>
#include <cstddef>
#include <mutex>
#include <optional>
#include <utility>

#include <jaydrift/core/boot_clock.hpp>
#include <jaydrift/core/bounded_queue.hpp>
#include <jaydrift/core/clock.hpp>
#include <jaydrift/core/time_ms.hpp>

namespace jaydrift::process {

/// Passes events from traffic threads to the control thread. Any number of
/// threads may add events; only the control thread takes them. The clock tells
/// how long an event waited; any thread may read it.
template<class Event, clock Clock = boot_clock>
class event_queue
{
public:
    /// An event that was taken from the queue.
    struct taken_event
    {
        Event value;
        /// Time that the event spent in the queue.
        time_ms waited;
    };

    /// `capacity` is the number of queued events from which `post` refuses
    /// further ones.
    explicit event_queue(std::size_t capacity, Clock time_source = {})
        : clock_(std::move(time_source)), queue_(capacity)
    {
    }

    /// Queues an event from outside, on any thread. Returns false if the queue
    /// is full or closed, so that the caller can shed the load.
    [[nodiscard]] bool post(Event input)
    {
        std::lock_guard const lock(mutex_);
        return !closed_ && queue_.try_push({std::move(input), clock_.now()});
    }

    /// Queues an event that must not be refused, such as a reply to a call of
    /// the reducer or a request to stop, on any thread. Unlike `post`, it also
    /// queues the event if the queue is full or closed.
    void deliver(Event input) { queue_.push({std::move(input), clock_.now()}); }

    /// Tells the control thread to end after the current event, on any thread.
    void finish()
    {
        finished_ = true;
        queue_.push({std::nullopt, clock_.now()});
    }

    bool finished() const { return finished_; }

    /// Returns the number of events in the queue.
    std::size_t size() const { return queue_.size(); }

    /// Waits at most `time_limit` for an event or `finish`.
    std::optional<taken_event> pop(time_ms time_limit)
    {
        auto item = queue_.pop(time_limit);
        if (!item || !item->input)
        {
            return std::nullopt;
        }
        return taken_event{std::move(*item->input),
                           clock_.now() - item->queued_at};
    }

    /// Makes `post` refuse every later event.
    void close()
    {
        std::lock_guard const lock(mutex_);
        closed_ = true;
    }

    /// Takes the events that are still queued after the control thread ended.
    /// Call `close` first, or events that are posted meanwhile may be missed.
    template<class Consume>
    void drain(Consume consume)
    {
        while (auto item = queue_.pop(time_ms(0)))
        {
            if (item->input)
            {
                consume(*item->input);
            }
        }
    }

private:
    struct queued_item
    {
        /// Empty for the item that `finish` adds to wake the control thread.
        std::optional<Event> input;
        time_ms queued_at;
    };

    Clock clock_;
    bounded_queue<queued_item> queue_;
    std::atomic<bool> finished_ = false;
    std::mutex mutex_;
    bool closed_ = false;
};

} // namespace jaydrift::process

#endif // JAYDRIFT_PROCESS_EVENT_QUEUE_HPP
