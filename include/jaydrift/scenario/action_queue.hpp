#ifndef JAYDRIFT_SCENARIO_ACTION_QUEUE_HPP
#define JAYDRIFT_SCENARIO_ACTION_QUEUE_HPP

#include <jaydrift/core/time_ms.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

namespace jaydrift::scenario {

/// Actions of the simulation, ordered by virtual time and, at equal times, by
/// insertion.
class action_queue
{
public:
    using action = std::function<void()>;

    void add(time_ms due, action new_action)
    {
        actions_.emplace(std::pair(due, ++sequence_), std::move(new_action));
    }

    bool empty() const { return actions_.empty(); }

    /// Returns when the next action is due. @pre not `empty()`
    time_ms next_due() const { return actions_.begin()->first.first; }

    /// Removes and returns the next action. @pre not `empty()`
    action take()
    {
        auto const first = actions_.begin();
        auto next_action = std::move(first->second);
        actions_.erase(first);
        return next_action;
    }

private:
    std::map<std::pair<time_ms, std::uint64_t>, action> actions_;
    std::uint64_t sequence_ = 0;
};

} // namespace jaydrift::scenario

#endif // JAYDRIFT_SCENARIO_ACTION_QUEUE_HPP
