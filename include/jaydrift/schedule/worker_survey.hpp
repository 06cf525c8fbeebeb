#ifndef JAYDRIFT_SCHEDULE_WORKER_SURVEY_HPP
#define JAYDRIFT_SCHEDULE_WORKER_SURVEY_HPP

#include <cstddef>
#include <optional>

namespace jaydrift::schedule {

/// What the workers have to offer to one task. All counts are of workers of its
/// service with its label.
struct worker_survey
{
    std::size_t matching = 0;
    std::size_t usable = 0;

    /// Workers with room for its memory and accelerators.
    std::size_t with_memory = 0;

    /// Workers with enough processors that are not reserved or, for an
    /// opportunistic task, that other tasks are expected to leave unused.
    std::size_t with_processors = 0;

    /// Workers on which it could start now.
    std::size_t suitable = 0;

    /// Lowest expected tail latency, relative to its target, of the workers
    /// where nothing else speaks against an opportunistic task; absent if there
    /// is none.
    std::optional<double> lowest_tail;
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_WORKER_SURVEY_HPP
