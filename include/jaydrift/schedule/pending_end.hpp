#ifndef JAYDRIFT_SCHEDULE_PENDING_END_HPP
#define JAYDRIFT_SCHEDULE_PENDING_END_HPP

#include <cstdint>
#include <string>

namespace jaydrift::schedule {

/// An end of a run that may be acknowledged to the worker once a version of its
/// submission is stored.
struct pending_end
{
    /// Number that the worker gave to the end.
    std::uint64_t number = 0;

    /// Empty if nothing has to be stored.
    std::string submission;
    std::uint64_t version = 0;
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_PENDING_END_HPP
