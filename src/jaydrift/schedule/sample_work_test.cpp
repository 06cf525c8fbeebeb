#include "sample_work_test.hpp"

namespace jaydrift::schedule::testing {

std::string id_of(int number)
{
    auto text = std::to_string(number);
    return std::string(16 - text.size(), '0') + text;
}

submission chain_of(std::vector<std::uint32_t> const& tasks_per_step)
{
    submission work;
    work.payload = "work";
    for (std::size_t i = 0; i < tasks_per_step.size(); ++i)
    {
        step_spec step;
        step.count = tasks_per_step[i];
        step.demand = {1000, 1000, 0};
        step.estimate = time_ms(500);
        if (i > 0)
        {
            step.after = {static_cast<std::uint32_t>(i - 1)};
        }
        work.steps.push_back(step);
    }
    return work;
}

} // namespace jaydrift::schedule::testing
