#ifndef JAYDRIFT_SCHEDULE_OCCURRENCE_STATE_HPP
#define JAYDRIFT_SCHEDULE_OCCURRENCE_STATE_HPP

#include <jaydrift/schedule/step_state.hpp>

#include <cstdint>
#include <vector>

namespace jaydrift::schedule {

/// One execution of all steps of a submission. A repeated submission has one
/// occurrence for each time that it is due.
struct occurrence_state
{
    std::vector<step_state> steps;

    /// Steps whose tasks are all done.
    std::uint32_t steps_done = 0;
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_OCCURRENCE_STATE_HPP
