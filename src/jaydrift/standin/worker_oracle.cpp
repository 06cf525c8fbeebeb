#include <jaydrift/standin/worker_oracle.hpp>

#include <jaydrift/standin/worker_state.hpp>

#include <set>
#include <string_view>

namespace jaydrift::standin {

resources held_resources(worker_state const& state)
{
    resources held;
    for (auto const& [id, run] : state.runs)
    {
        if (run.state == task_state::running)
        {
            held += run.task.demand;
        }
    }
    return held;
}

bool has_overlapping_runs(std::span<run_log_entry const> log)
{
    std::set<std::string_view> running;
    for (auto const& entry : log)
    {
        if (entry.change != run_change::started)
        {
            running.erase(entry.task);
        }
        else if (!running.insert(entry.task).second)
        {
            return true;
        }
    }
    return false;
}

} // namespace jaydrift::standin
