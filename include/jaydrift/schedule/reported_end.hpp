#ifndef JAYDRIFT_SCHEDULE_REPORTED_END_HPP
#define JAYDRIFT_SCHEDULE_REPORTED_END_HPP

#include <jaydrift/schedule/run_id.hpp>
#include <jaydrift/schedule/run_outcome.hpp>

#include <cstdint>
#include <string>

namespace jaydrift::schedule {

/// A run that has ended on a worker and is not acknowledged yet.
struct reported_end
{
    /// Counts the ends of one life of the worker from 1.
    std::uint64_t number = 0;
    run_id run;
    run_outcome outcome = run_outcome::failed;
    std::string checkpoint;
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_REPORTED_END_HPP
