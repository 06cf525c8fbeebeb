#include "short_tasks.hpp"

#include "callers.hpp"
#include "fault_helpers.hpp"

#include <jaydrift/soak/soak_state.hpp>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>

namespace jaydrift::soak::short_tasks {

namespace {

constexpr std::uint32_t tasks_per_submission = 30;

} // namespace

void submit(soak_state& state, time_ms now, effect_list& effects)
{
    auto const submissions = state.settings.short_tasks / tasks_per_submission;
    while (state.short_submissions.size() < submissions)
    {
        auto id = callers::submit_short_tasks(state, tasks_per_submission, now,
                                              effects);
        state.oracle.forbid_restarts(id, true);
        state.short_submissions.push_back(std::move(id));
    }
}

void report_ends(soak_state const& state, time_ms now, effect_list& effects)
{
    if (state.short_submissions.empty())
    {
        return;
    }
    std::size_t most = 0;
    for (auto const& worker : state.workers)
    {
        most = std::max(most, worker.unacknowledged_ends());
    }
    print(effects, now,
          "most ends of a worker that are not acknowledged: "
              + std::to_string(most));
}

void allow_restarts(soak_state& state)
{
    for (auto const& id : state.short_submissions)
    {
        state.oracle.forbid_restarts(id, false);
    }
}

} // namespace jaydrift::soak::short_tasks
