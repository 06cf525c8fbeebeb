#include "waiting_check.hpp"

#include <jaydrift/soak/soak_state.hpp>

#include <algorithm>
#include <string>

namespace jaydrift::soak::waiting_check {

namespace {

/// Bounds of the users' pages: time to recover after the last fault, and time
/// with nothing running.
constexpr time_ms recovery_time{12000};
constexpr time_ms waiting_limit{3000};

/// Returns whether a task could start twice and under half of the workers'
/// capacity is in use.
bool has_room(soak_state const& state, step_plan const& step)
{
    resources capacity;
    resources used;
    auto places = 0;
    for (auto const& worker : state.workers)
    {
        if (!worker.up())
        {
            continue;
        }
        capacity += worker.capacity();
        used += worker.used();
        if (!step.required_label.empty() && step.required_label != worker.kind)
        {
            continue;
        }
        auto const free = worker.capacity() - worker.used();
        places += fits(step.demand, free) ? 1 : 0;
        places += fits(step.demand, free - step.demand) ? 1 : 0;
    }
    return places >= 2 && fits(used, capacity - used);
}

} // namespace

void tick(soak_state& state, time_ms now)
{
    if (now - std::max(state.disturbed_at, state.daemon_started_at)
        < recovery_time)
    {
        return;
    }
    for (auto const& id : state.oracle.unfinished_submissions())
    {
        auto const* const step = state.oracle.ready_step(id);
        auto& since = state.waiting_since.try_emplace(id, now).first->second;
        if (!step || state.oracle.running_tasks(id) > 0
            || state.oracle.last_start(id) >= since || !has_room(state, *step))
        {
            since = now;
        }
        else if (now - since > waiting_limit)
        {
            state.oracle.add_violation(
                id + " has nothing running, though there is room for its "
                + (step->opportunistic ? "opportunistic " : "") + "tasks");
        }
    }
}

} // namespace jaydrift::soak::waiting_check
