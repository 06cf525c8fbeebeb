#ifndef JAYDRIFT_SCENARIO_EVENT_QUEUE_HPP
#define JAYDRIFT_SCENARIO_EVENT_QUEUE_HPP

#include <jaydrift/core/time_ms.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

namespace jaydrift::scenario {

/// Actions ordered by virtual time; equal times run in the order of insertion.
class event_queue
{
public:
    using action = std::function<void()>;

    void add(time_ms at, action task)
    {
        actions_.emplace(std::pair(at, ++sequence_), std::move(task));
    }

    bool empty() const { return actions_.empty(); }

    /// Returns the time of the next action. @pre not `empty()`
    time_ms next() const { return actions_.begin()->first.first; }

    /// Removes and returns the next action. @pre not `empty()`
    action take()
    {
        auto const first = actions_.begin();
        auto task = std::move(first->second);
        actions_.erase(first);
        return task;
    }

private:
    std::map<std::pair<time_ms, std::uint64_t>, action> actions_;
    std::uint64_t sequence_ = 0;
};

} // namespace jaydrift::scenario

#endif // JAYDRIFT_SCENARIO_EVENT_QUEUE_HPP
